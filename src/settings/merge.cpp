#include "settings/merge.hpp"

namespace yuccaspan::impl {

namespace {

/// Forgets the places of a value and of everything in it.
void forgetPlaces(PlaceMap &places, const std::string &pointer)
{
    places.erase(pointer);
    const std::string inside = pointer + '/';
    auto it = places.lower_bound(inside);
    while (it != places.end() && it->first.starts_with(inside))
        it = places.erase(it);
}

/// Takes over the places of the values that a patch sets.
void patchPlaces(PlaceMap &places, const Json &patch, const PlaceMap &patchPlacesMap,
                 const std::string &pointer)
{
    if (!patch.is_object())
        forgetPlaces(places, pointer);
    const auto place = patchPlacesMap.find(pointer);
    if (!patch.is_null() && place != patchPlacesMap.end())
        places[pointer] = place->second;
    if (!patch.is_object())
        return;
    for (const auto &[key, value] : patch.items())
        patchPlaces(places, value, patchPlacesMap, childPointer(pointer, key));
}

} // namespace

void applyPatch(MergedJson &merged, const ParsedJson &patch)
{
    merged.value.merge_patch(patch.value);
    patchPlaces(merged.places, patch.value, patch.places, "");
}

SourcePlace placeOfPointer(const PlaceMap &places, const std::string &pointer)
{
    std::string around = pointer;
    while (!places.contains(around) && !around.empty())
        around.erase(around.rfind('/'));
    const auto found = places.find(around);
    SourcePlace place = found == places.end() ? SourcePlace{} : found->second;
    place.pointer = pointer;
    return place;
}

} // namespace yuccaspan::impl
