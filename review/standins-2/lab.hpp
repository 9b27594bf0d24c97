/// \file
/// \brief Parts of the scripted cases: a record, targets that hold keys, callers and gateways.
#pragma once

#include "event_loop.hpp"
#include "process.hpp"
#include "store_standin.hpp"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace yuccaspan::review {

using LabClock = std::chrono::steady_clock;

inline constexpr std::uint32_t keyCount = 65536;

/// \brief Ends of the run of a case, as exit codes.
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/// \brief The file that says what was sent, answered and run. May be used from any thread.
class Record
{
public:
    explicit Record(const std::string &path);
    /// \brief Writes a line with the seconds since the start.
    void line(const std::string &text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    LabClock::time_point m_start;
};

/// \brief An order for the keys from first to last, both inclusive.
struct KeyOrder
{
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    double holdSeconds = 0; ///< Of a grant.
};

/// \brief Judges what all targets take and give up. May be used from any thread.
class KeyJudge
{
public:
    KeyJudge(Record &record, std::vector<std::string> targets);

    /// \brief A target takes keys.
    /// \param arrived When the call came; the hold runs from then.
    void taken(std::size_t target, const KeyOrder &order, LabClock::time_point arrived);
    void released(std::size_t target, const KeyOrder &order);
    /// \brief A target begins a request.
    void began(std::size_t target, std::uint32_t key);
    /// \brief A target has ended: it holds nothing, and its next life knows nothing.
    void ended(std::size_t target);
    [[nodiscard]] bool holds(std::size_t target, std::uint32_t key);
    /// \brief Whether a target has seen a higher token on one of the keys.
    [[nodiscard]] bool seenHigher(std::size_t target, const KeyOrder &order);
    /// \brief Takes of a key with a token that was not above all of other targets.
    [[nodiscard]] std::uint64_t staleTakes() const;
    /// \brief Longest time for which two targets held the same key.
    [[nodiscard]] double longestShared();
    /// \brief Requests begun on a key while another target held it too.
    [[nodiscard]] std::uint64_t sharedStarts() const;

private:
    struct Key
    {
        std::uint64_t seen = 0; ///< Highest token in an order to the target.
        std::uint64_t taken = 0; ///< Highest token with which the target had it.
        LabClock::time_point from;
        LabClock::time_point until;
    };

    /// Ends the hold of a key and measures for how long others had it too.
    void endHold(std::size_t target, std::uint32_t key, LabClock::time_point now);

    mutable std::mutex m_mutex;
    Record &m_record;
    std::vector<std::string> m_names;
    std::vector<std::vector<Key>> m_keys; ///< By target.
    std::uint64_t m_staleTakes = 0;
    std::uint64_t m_sharedStarts = 0;
    double m_longestShared = 0;
};

/// \brief Counts of all targets.
struct TargetCounts
{
    std::atomic<std::uint64_t> answers{0}; ///< To requests, orders and health calls.
    std::atomic<std::uint64_t> orders{0};
    std::atomic<std::uint64_t> extraAnswers{0};
    std::atomic<std::uint64_t> lateGrants{0};
};

/// \brief A grant that is left unanswered.
struct LateGrant
{
    std::chrono::milliseconds late{}; ///< From its arrival until it is carried out.
    bool copyBefore = false; ///< Whether a second copy of the answer before comes in its place.
    std::function<void()> whenDone; ///< Called on the target's thread once it was left unanswered.
};

/// \brief A target. Each connection has a thread.
class LabTarget
{
public:
    LabTarget(Record &record, KeyJudge &judge, TargetCounts &counts, std::size_t index,
              std::string id, std::string zone, bool keyed);
    LabTarget(const LabTarget &) = delete;
    LabTarget &operator=(const LabTarget &) = delete;
    ~LabTarget();

    [[nodiscard]] const std::string &id() const noexcept { return m_id; }
    [[nodiscard]] const std::string &zone() const noexcept { return m_zone; }
    [[nodiscard]] std::string address() const;
    /// \brief Arms a disruption for the next grant on a connection that has already carried the
    /// answer to one: the grant gets no answer and is carried out late.
    void armLateGrant(LateGrant trouble);
    /// \brief Is as on a machine without power: no new connection is established, and nothing that
    /// comes on the open ones is read or answered.
    void goDark();
    /// \brief Starts again at its address, with its id, and is cold. Crashes if more requests than
    /// a limit come within a second of that time.
    void comeBackCold(std::chrono::milliseconds coldFor, std::size_t crashAbove);
    /// \brief Most requests that came within a second while it was cold.
    [[nodiscard]] std::size_t mostWhileCold();
    /// \brief Crashes, and starts again at its address after a pause.
    void restart(std::chrono::milliseconds pause);

private:
    struct Request;

    void accept();
    /// Counts a request while the target is cold; returns whether it is one too many.
    bool countCold();
    void crash();
    /// What the health answer says of the time for which it stays cold; empty if it isn't.
    std::string warmupField();
    /// Counts the requests that run on a key.
    void setWork(std::uint32_t key, int change);
    /// Waits until no request runs on the keys.
    void awaitWork(const KeyOrder &order);
    /// Carries out a grant that was left unanswered.
    void carryOut(int life, const KeyOrder &order, LabClock::time_point arrived,
                  std::chrono::milliseconds late);
    void closeAll();
    /// Whether the life in which a connection was accepted goes on.
    [[nodiscard]] bool alive(int life) const { return !m_stopped && m_life == life; }
    void serve(int socket, int life);
    /// Handles a request; returns whether the connection goes on.
    bool handle(int socket, int life, const Request &request, std::string &lastGrantAnswer);
    bool grant(int socket, int life, const Request &request, std::string &lastGrantAnswer);
    [[nodiscard]] bool answer(int socket, const std::string &bytes);

    Record &m_record;
    KeyJudge &m_judge;
    TargetCounts &m_counts;
    std::size_t m_index;
    std::string m_id;
    std::string m_zone;
    bool m_keyed; ///< Whether it runs only requests whose key it holds.
    std::uint16_t m_port = 0; ///< Set with the listener, so declared before it.
    std::atomic<int> m_listener{-1};
    std::atomic<bool> m_stopped{false};
    std::atomic<int> m_life{1}; ///< Rises with each start.
    std::mutex m_mutex;
    std::optional<LateGrant> m_lateGrant;
    std::atomic<bool> m_dark{false};
    LabClock::time_point m_coldUntil;
    std::size_t m_crashAbove = 0;
    std::vector<LabClock::time_point> m_whileCold; ///< When requests came.
    std::vector<int> m_fillers; ///< Connections that keep the queue of the listener full.
    std::set<int> m_sockets;
    std::map<std::uint32_t, int> m_work; ///< Running requests by key.
    std::vector<std::thread> m_threads;
    std::thread m_lateThread;
    std::thread m_acceptor;
};

/// \brief The store on a thread of its own.
class StoreThread
{
public:
    StoreThread();
    ~StoreThread();
    [[nodiscard]] std::string address() const { return m_store->address(); }
    /// \brief Writes an object as the operator or a target does.
    void put(const std::string &kind, const std::string &name, platform_standins::Json spec);
    /// \brief Answers 503 to all calls, or is well again.
    void setBusy(bool busy);

private:
    standins::EventLoop m_loop;
    std::unique_ptr<platform_standins::StoreStandin> m_store;
    std::thread m_thread;
};

/// \brief A gateway process, started as the deploy file says.
class GatewayProcess
{
public:
    GatewayProcess(const std::string &program, const std::string &folder, const std::string &name,
                   const std::string &zone, const std::string &store);
    [[nodiscard]] const std::string &callers() const noexcept { return m_callers; }
    [[nodiscard]] const std::string &readiness() const noexcept { return m_readiness; }
    [[nodiscard]] bool ready() const;
    [[nodiscard]] bool running();

private:
    std::string m_callers;
    std::string m_readiness;
    std::unique_ptr<standins::Process> m_process;
};

/// \brief Makes sure that a run ends in time, also on a signal, and that no gateway is left.
void guardRun(std::chrono::seconds limit);

/// \brief A blocking connection to "ip:port"; -1 if there is none in time.
[[nodiscard]] int connectTo(const std::string &address, std::chrono::milliseconds timeout);
/// \brief Sends all bytes.
[[nodiscard]] bool sendAll(int socket, const std::string &bytes);
/// \brief Reads one answer or request with a length.
/// \param buffer Bytes that were read before; keeps those that follow.
[[nodiscard]] std::optional<std::string> readMessage(int socket, std::string &buffer);
/// \brief The value of a header of a message; empty if it is absent.
[[nodiscard]] std::string headerOf(const std::string &message, const std::string &name);
/// \brief The body of a message.
[[nodiscard]] std::string bodyOf(const std::string &message);

} // namespace yuccaspan::review
