#include "static_policy.hpp"

#include <deque>

namespace yuccaspan::bench {

namespace {

/// Fixed timeout of an attempt.
constexpr Duration attemptTimeout = std::chrono::milliseconds(250);
/// Wait before a repeat.
constexpr Duration repeatDelay = std::chrono::milliseconds(10);
/// Most attempts of a request.
constexpr std::uint32_t maxAttempts = 3;
/// A wake-up's tag: request, attempt, and whether it is a timeout.
constexpr std::uint64_t attemptBits = 8;

class StaticPolicy final : public RoutingPolicy
{
public:
    void begin(PolicyHost &host) override
    {
        m_host = &host;
        m_zonesOut = host.zonesOut();
        m_connections.assign(host.entries().size() * host.targets().size(), {});
        chooseTargets();
    }
    void arrived(std::uint64_t id) override { attempt(id); }
    void replied(std::uint64_t id, FinishKind kind, bool mayHaveRun) override
    {
        release(id);
        if (kind == FinishKind::Answered)
            return m_host->complete(id, Outcome::Done);
        tryAgain(id, mayHaveRun);
    }
    void expired(std::uint64_t id) override
    {
        const SimRequest &request = m_host->request(id);
        if (request.underWay)
            release(id);
        m_host->complete(id, request.runs > 0 ? Outcome::Unknown : Outcome::NotRun);
    }
    void probed(std::uint32_t, std::uint32_t, Duration) override { }
    void wake(std::uint64_t tag) override
    {
        const bool isTimeout = (tag & 1U) != 0;
        const std::uint64_t id = tag >> attemptBits;
        const auto attemptOf = static_cast<std::uint32_t>((tag >> 1U) & 0x7fU);
        SimRequest &request = m_host->request(id);
        if (!request.live || request.attempt != attemptOf)
            return;
        if (!isTimeout)
            return attempt(id);
        if (!request.underWay)
            return;
        release(id);
        request.underWay = false;
        tryAgain(id, true);
    }
    void tick(std::uint32_t) override
    {
        for (std::uint32_t index = 0; index < m_host->targets().size(); ++index) {
            if (m_host->targets()[index].up && !m_host->targets()[index].granted)
                m_host->grantTarget(index);
        }
        if (m_zonesOut != m_host->zonesOut())
            rehash();
    }
    void connectionsClosed() override
    {
        for (Pool &pool : m_connections)
            pool.idle = 0;
    }
    [[nodiscard]] std::optional<std::uint32_t> ownerOf(KeyHash hash) const override
    {
        return m_owners[hash % m_owners.size()];
    }

private:
    struct Pool
    {
        std::uint32_t idle = 0;
        std::uint32_t used = 0;
        std::deque<std::uint64_t> waiting;
    };

    void chooseTargets()
    {
        m_owners.clear();
        for (std::uint32_t index = 0; index < m_host->targets().size(); ++index) {
            if (!m_zonesOut[m_host->targets()[index].zone])
                m_owners.push_back(index);
        }
    }
    void rehash()
    {
        const std::vector<std::uint32_t> old = m_owners;
        m_zonesOut = m_host->zonesOut();
        chooseTargets();
        // Modulo hashing moves a key unless both tables agree on it; the shares are uniform.
        constexpr std::uint64_t samples = 4096;
        constexpr KeyHash step = ~0ULL / samples;
        for (std::uint64_t index = 0; index < samples; ++index) {
            const KeyHash first = index * step;
            if (old[first % old.size()] != m_owners[first % m_owners.size()])
                m_host->noteMove({first, first + step - 1}, true, Duration(0));
        }
    }
    [[nodiscard]] Pool &poolOf(std::uint32_t entry, std::uint32_t target)
    {
        return m_connections[entry * m_host->targets().size() + target];
    }
    void attempt(std::uint64_t id)
    {
        const SimRequest &request = m_host->request(id);
        const std::uint32_t target = *ownerOf(request.hash);
        Pool &pool = poolOf(request.entry, target);
        const std::uint32_t limit = m_host->targets()[target].settings.connections
            / static_cast<std::uint32_t>(m_host->entries().size());
        if (pool.used >= limit) {
            pool.waiting.push_back(id);
            return;
        }
        const bool opens = pool.idle == 0;
        pool.idle -= opens ? 0 : 1;
        ++pool.used;
        m_host->send(id, target, opens);
        m_host->callPolicyAt(m_host->now() + attemptTimeout,
                             id << attemptBits | (request.attempt & 0x7fU) << 1U | 1U);
    }
    void release(std::uint64_t id)
    {
        const SimRequest &request = m_host->request(id);
        Pool &pool = poolOf(request.entry, request.target);
        --pool.used;
        ++pool.idle;
        while (!pool.waiting.empty()) {
            const std::uint64_t next = pool.waiting.front();
            pool.waiting.pop_front();
            if (m_host->request(next).live)
                return attempt(next);
        }
    }
    void tryAgain(std::uint64_t id, bool mayHaveRun)
    {
        const SimRequest &request = m_host->request(id);
        const bool repeatable = m_host->shape().kinds[request.kind].rule.repeatable;
        if (request.attempt < maxAttempts && (repeatable || !mayHaveRun))
            return m_host->callPolicyAt(m_host->now() + repeatDelay,
                                        id << attemptBits | (request.attempt & 0x7fU) << 1U);
        m_host->complete(id, mayHaveRun || request.runs > 0 ? Outcome::Unknown : Outcome::NotRun);
    }

    PolicyHost *m_host = nullptr;
    std::vector<bool> m_zonesOut;
    std::vector<std::uint32_t> m_owners;
    std::vector<Pool> m_connections;
};

} // namespace

std::unique_ptr<RoutingPolicy> makeStaticPolicy()
{
    return std::make_unique<StaticPolicy>();
}

} // namespace yuccaspan::bench
