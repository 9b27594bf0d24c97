#include "http/in_flight.hpp"

namespace yuccaspan::impl {

void InFlightTable::add(const ServiceName &service, KeyHash hash)
{
    Stripe &stripe = m_stripes[stripeOf(hash)];
    const std::lock_guard lock(stripe.mutex);
    ++stripe.counts[{service, hash}];
}

void InFlightTable::remove(const ServiceName &service, KeyHash hash)
{
    Stripe &stripe = m_stripes[stripeOf(hash)];
    const std::lock_guard lock(stripe.mutex);
    const auto found = stripe.counts.find({service, hash});
    if (found != stripe.counts.end() && --found->second == 0)
        stripe.counts.erase(found);
}

std::size_t InFlightTable::count(const ServiceName &service, const KeyRange &range) const
{
    std::size_t sum = 0;
    for (const Stripe &stripe : m_stripes) {
        const std::lock_guard lock(stripe.mutex);
        auto entry = stripe.counts.lower_bound({service, range.first});
        while (entry != stripe.counts.end() && entry->first.first == service
               && entry->first.second <= range.last) {
            sum += entry->second;
            ++entry;
        }
    }
    return sum;
}

std::size_t InFlightTable::total() const
{
    std::size_t sum = 0;
    for (const Stripe &stripe : m_stripes) {
        const std::lock_guard lock(stripe.mutex);
        for (const auto &[key, count] : stripe.counts)
            sum += count;
    }
    return sum;
}

} // namespace yuccaspan::impl
