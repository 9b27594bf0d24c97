#include "yuccaspan/decision_log.hpp"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/jsonlayout.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace yuccaspan {

namespace {

struct Line
{
    std::string part;
    std::string text;
};

/// A bounded buffer with several producers and one consumer. Producers never wait for the consumer.
class LineRing
{
public:
    explicit LineRing(std::size_t capacity) : m_capacity(capacity) { m_lines.reserve(capacity); }

    bool push(std::string_view part, std::string text)
    {
        const std::lock_guard lock(m_mutex);
        if (m_lines.size() >= m_capacity)
            return false;
        m_lines.push_back({std::string(part), std::move(text)});
        return true;
    }

    void popAll(std::vector<Line> &out)
    {
        out.clear();
        const std::lock_guard lock(m_mutex);
        m_lines.swap(out);
    }

private:
    const std::size_t m_capacity;
    std::mutex m_mutex;
    std::vector<Line> m_lines;
};

log4cxx::LayoutPtr makeLayout(LogForm form)
{
    if (form == LogForm::Json)
        return std::make_shared<log4cxx::JSONLayout>();
    if (form == LogForm::Raw)
        return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%m%n"));
    return std::make_shared<log4cxx::PatternLayout>(LOG4CXX_STR("%d %c: %m%n"));
}

log4cxx::AppenderPtr makeAppender(const LogOptions &options)
{
    const log4cxx::LayoutPtr layout = makeLayout(options.form);
    if (options.file.empty()) {
        const auto stream = options.form == LogForm::Raw ? log4cxx::ConsoleAppender::getSystemOut()
                                                         : log4cxx::ConsoleAppender::getSystemErr();
        return std::make_shared<log4cxx::ConsoleAppender>(layout, stream);
    }
    constexpr bool append = true;
    constexpr bool buffered = false;
    constexpr int bufferBytes = 65536;
    return std::make_shared<log4cxx::FileAppender>(layout, options.file, append, buffered,
                                                   bufferBytes);
}

class AsyncLog final : public DecisionLog
{
public:
    explicit AsyncLog(const LogOptions &options)
        : m_routing(options.routing), m_pollInterval(options.pollInterval)
    {
        m_rings.reserve(ringCount);
        for (std::size_t index = 0; index < ringCount; ++index)
            m_rings.push_back(std::make_unique<LineRing>(options.ringLines / ringCount));
        m_root = log4cxx::Logger::getLogger("yuccaspan");
        m_root->setAdditivity(false);
        m_root->removeAllAppenders();
        m_root->addAppender(makeAppender(options));
        m_root->setLevel(log4cxx::Level::getInfo());
        m_thread = std::thread([this] { run(); });
    }

    AsyncLog(const AsyncLog &) = delete;
    AsyncLog &operator=(const AsyncLog &) = delete;

    ~AsyncLog() override
    {
        m_stopping = true;
        m_thread.join();
        m_root->removeAllAppenders();
    }

    void write(std::string_view part, std::string text) noexcept override
    {
        const std::size_t thread = std::hash<std::thread::id>()(std::this_thread::get_id());
        if (!m_rings[thread % ringCount]->push(part, std::move(text)))
            ++m_dropped;
    }

    bool wantsRouting() const noexcept override { return m_routing; }
    std::uint64_t dropped() const noexcept override { return m_dropped; }
    std::uint64_t written() const noexcept override { return m_written; }

private:
    static constexpr std::size_t ringCount = 8;

    void run()
    {
        while (!m_stopping) {
            writePending();
            std::this_thread::sleep_for(m_pollInterval);
        }
        writePending();
    }

    void writePending()
    {
        for (const auto &ring : m_rings) {
            ring->popAll(m_batch);
            for (const Line &line : m_batch)
                writeLine(line);
        }
    }

    void writeLine(const Line &line)
    {
        auto found = m_loggers.find(line.part);
        if (found == m_loggers.end()) {
            const auto logger = log4cxx::Logger::getLogger("yuccaspan." + line.part);
            found = m_loggers.emplace(line.part, logger).first;
        }
        found->second->info(line.text);
        ++m_written;
    }

    const bool m_routing;
    const std::chrono::milliseconds m_pollInterval;
    std::vector<std::unique_ptr<LineRing>> m_rings;
    std::vector<Line> m_batch;
    std::map<std::string, log4cxx::LoggerPtr> m_loggers;
    log4cxx::LoggerPtr m_root;
    std::atomic<bool> m_stopping{false};
    std::atomic<std::uint64_t> m_dropped{0};
    std::atomic<std::uint64_t> m_written{0};
    std::thread m_thread;
};

} // namespace

Result<std::unique_ptr<DecisionLog>> makeDecisionLog(const LogOptions &options)
{
    try {
        return std::unique_ptr<DecisionLog>(std::make_unique<AsyncLog>(options));
    } catch (const std::exception &failure) {
        return Error{ErrorCode::Unavailable, failure.what(), {options.file, {}, 0, 0}};
    }
}

} // namespace yuccaspan
