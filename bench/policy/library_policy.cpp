#include "library_policy.hpp"

#include "entry_side.hpp"
#include "placer_side.hpp"

namespace yuccaspan::bench {

namespace {

class LibraryPolicy final : public RoutingPolicy
{
public:
    void begin(PolicyHost &host) override
    {
        m_table.create(host.shape().service.name, host.shape().zones, host.shape().service.targets);
        m_entries.begin(host, m_table);
        m_placers.begin(host, m_table, m_entries);
    }
    void arrived(std::uint64_t id) override { m_entries.arrived(id); }
    void replied(std::uint64_t id, FinishKind kind, bool mayHaveRun) override
    {
        m_entries.replied(id, kind, mayHaveRun);
    }
    void expired(std::uint64_t id) override { m_entries.expired(id); }
    void probed(std::uint32_t entry, std::uint32_t target, Duration latency) override
    {
        m_entries.probed(entry, target, latency);
    }
    void wake(std::uint64_t tag) override { m_placers.wake(tag); }
    void tick(std::uint32_t entry) override { m_entries.tick(entry); }
    void connectionsClosed() override { m_entries.connectionsClosed(); }
    [[nodiscard]] std::optional<std::uint32_t> ownerOf(KeyHash hash) const override
    {
        const SliceRecord &slice = m_table.slice(hash);
        if (slice.owner.empty())
            return std::nullopt;
        return m_table.indexOf(slice.owner);
    }

private:
    SliceTable m_table;
    EntrySide m_entries;
    PlacerSide m_placers;
};

} // namespace

std::unique_ptr<RoutingPolicy> makeLibraryPolicy()
{
    return std::make_unique<LibraryPolicy>();
}

} // namespace yuccaspan::bench
