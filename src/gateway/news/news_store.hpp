/// \file
/// \brief A store whose changes come from other instances where there are many.
#pragma once

#include "gateway/gateway.hpp"
#include "gateway/news/news_desk.hpp"
#include "gateway/news/news_source.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace yuccaspan::gateway {

/// \brief Options of the news of an instance.
struct NewsOptions
{
    std::string name; ///< Name of the instance.
    std::string zone; ///< Its availability zone.
    std::uint32_t fromInstances = 0; ///< Known instances from which it is used; 0: never.
    /// Whether the instance follows the settings itself: keys that are taken away must be refused
    /// in a time that two hops may use up.
    bool ownSettings = false;
    NewsTiming timing;
};

/// \brief Decorator of the store: a few instances of each availability zone follow it, the others
/// ask these.
///
/// Answers the load pattern that calls grow with instances times changes. Lists, writes and exact
/// reads go to the store; so does everything where news is off, and while no peer has any.
class NewsStore final : public MetadataStore
{
public:
    NewsStore(asio::io_context &loop, MetadataStore &store, NewsOptions options);

    /// \brief Starts the tasks.
    /// \param readsItself Whether the instance has to follow the store itself now.
    void start(Gateway &gateway, std::function<bool()> readsItself);
    /// \brief Answers a peer's question, as soon as there is news or its time is up.
    asio::awaitable<HttpResponse> answer(std::string question);

    asio::awaitable<Result<StoredObjects>> list(ObjectKind kind) override;
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind kind, StoreRevision revision,
                                                 Duration wait, CancelSink onCancel) override;
    asio::awaitable<Result<StoredObjects>> changes(ObjectKind kind, StoreRevision revision,
                                                   Duration within) override
    {
        return m_store.changes(kind, revision, within);
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind kind, const std::string &name,
                                              bool maybeOld) override;
    asio::awaitable<WriteResult> put(ObjectKind kind, const std::string &name,
                                     const std::string &text, StoreRevision revision) override;
    [[nodiscard]] std::uint32_t followers(std::uint32_t instances) const override;
    [[nodiscard]] bool fromPeers() const override;

private:
    struct Member
    {
        std::string zone;
        std::string address;
    };

    [[nodiscard]] bool active() const noexcept;
    [[nodiscard]] TimePoint now() const noexcept { return m_gateway->now(); }
    asio::awaitable<void> waitForNews(Duration most);
    void wake();
    void learnMembers();
    asio::awaitable<void> tick();
    asio::awaitable<void> pollPeers();
    asio::awaitable<void> poll(std::string peer);
    bool takeAnswer(const std::string &text, const NewsQuestion &asked, TimePoint askedAt);
    void logSource();
    asio::awaitable<void> checkStore();
    void confirm(TimePoint asOf);
    asio::awaitable<Result<StoredObjects>> watchStore(ObjectKind kind, StoreRevision revision,
                                                      Duration wait, CancelSink onCancel);
    [[nodiscard]] std::optional<Result<StoredObjects>> newsAfter(ObjectKind kind,
                                                                 StoreRevision revision);
    [[nodiscard]] std::vector<StoredObject> mapsAfter(const NewsQuestion &question) const;

    asio::io_context &m_loop;
    MetadataStore &m_store;
    const NewsOptions m_options;
    Gateway *m_gateway = nullptr; ///< Null until started; then everything goes to the store.
    std::function<bool()> m_readsItself;
    NewsDesk m_desk;
    NewsSource m_source;
    std::map<std::string, Member> m_members; ///< Known instances.
    std::uint32_t m_readers = 0; ///< Instances that follow the store, by the tree.
    std::map<std::string, std::shared_ptr<ClientPool>> m_pools; ///< Of parents, by address.
    std::set<asio::steady_timer *> m_waiters;
    std::map<ObjectKind, TimePoint> m_pendingSince; ///< Watches that wait at the store.
    std::set<ObjectKind> m_gaps; ///< Kinds to be listed anew.
    std::map<std::string, StoredObject> m_newMaps; ///< Maps from peers, not yet handed over.
    bool m_mapsFromPeers = false; ///< Since the maps were listed, changes came from peers.
    std::string m_leaseName; ///< Object of the last read of a lease.
    std::string m_loggedSource;
    TimePoint m_lastAsked{}; ///< Last question of a peer.
    std::size_t m_answering = 0; ///< Questions that wait for an answer.
    bool m_checking = false;
    TimePoint m_nextCheck{};
};

} // namespace yuccaspan::gateway
