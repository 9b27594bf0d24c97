#include "settings/merge.hpp"

namespace yuccaspan::impl {

namespace {

/// Removes the locations of a value and of its descendants.
void erasePlaces(PlaceMap &places, const std::string &pointer)
{
    places.erase(pointer);
    const std::string childPrefix = pointer + '/';
    auto it = places.lower_bound(childPrefix);
    while (it != places.end() && it->first.starts_with(childPrefix))
        it = places.erase(it);
}

/// Copies the locations of the values that a patch sets.
void mergePlaces(PlaceMap &places, const Json &patch, const PlaceMap &patchLocations,
                 const std::string &pointer)
{
    if (!patch.is_object())
        erasePlaces(places, pointer);
    const auto place = patchLocations.find(pointer);
    if (!patch.is_null() && place != patchLocations.end())
        places[pointer] = place->second;
    if (!patch.is_object())
        return;
    for (const auto &[key, value] : patch.items())
        mergePlaces(places, value, patchLocations, childPointer(pointer, key));
}

} // namespace

void applyPatch(MergedJson &merged, const ParsedJson &patch)
{
    merged.value.merge_patch(patch.value);
    mergePlaces(merged.places, patch.value, patch.places, "");
}

SourcePlace placeOfPointer(const PlaceMap &places, const std::string &pointer)
{
    std::string ancestor = pointer;
    while (!places.contains(ancestor) && !ancestor.empty())
        ancestor.erase(ancestor.rfind('/'));
    const auto found = places.find(ancestor);
    SourcePlace place = found == places.end() ? SourcePlace{} : found->second;
    place.pointer = pointer;
    return place;
}

} // namespace yuccaspan::impl
