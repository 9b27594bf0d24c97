/// \file
/// \brief What a load run counted, and its forms for people and programs.
#pragma once

#include "load/latency_histogram.hpp"
#include "load/request_mix.hpp"

#include "yuccaspan/enum_names.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace yuccaspan::load {

/// \brief How a request ended, as the caller saw it.
enum class CallResult {
    Done, ///< Answered in full.
    NotRun, ///< Said not to have run.
    Unknown, ///< May have run: said so, connection lost or no answer in time.
    Error, ///< Never sent, or an answer that fits none of the above.
};

/// \brief Number of CallResult enumerators.
inline constexpr std::size_t callResultCount = 4;

/// \brief A request that has ended.
struct CallRecord
{
    std::size_t kind = 0; ///< Index of its kind in the mix.
    Duration scheduled{}; ///< When it was due, since the start of the run.
    Duration latency{}; ///< From when it was due until its end.
    CallResult result = CallResult::Error; ///< How it ended.
    std::string reason; ///< Reason given with the answer, or of the load generator.
    bool crossed = false; ///< The answer names another request.
};

/// \brief Requests that were due in a span of time, by result.
struct TimeSlot
{
    std::uint64_t due = 0; ///< Requests due.
    std::uint64_t failed = 0; ///< Those that were not done.
};

/// \brief Figures of one kind.
struct KindReport
{
    std::array<std::uint64_t, callResultCount> results{}; ///< By CallResult.
    std::uint64_t late = 0; ///< Done past the kind's deadline.
    std::map<std::string, std::uint64_t> reasons; ///< By reason.
    LatencyHistogram latency; ///< Of requests done, from when they were due.

    /// \brief Requests sent or tried.
    [[nodiscard]] std::uint64_t sent() const;
    /// \brief Requests with a result.
    [[nodiscard]] std::uint64_t count(CallResult result) const
    {
        return results.at(static_cast<std::size_t>(result));
    }
};

/// \brief Figures of one run.
class LoadReport
{
public:
    /// \brief Creates an empty report.
    /// \param mix The kinds; must outlive the report.
    explicit LoadReport(const RequestMix &mix);

    /// \brief Counts a request.
    void add(const CallRecord &record);
    /// \brief Counts how late the generator itself was.
    void addLag(Duration lag) { m_lag.add(lag); }
    /// \brief Adds all counts of another report.
    void merge(const LoadReport &other);

    /// \name Figures
    /// @{
    /// \brief Worth of requests done in time over worth of all, 0 to 1.
    [[nodiscard]] double weightedService() const;
    /// \brief Answers that named another request.
    [[nodiscard]] std::uint64_t crossed() const noexcept { return m_crossed; }
    /// \brief Requests of all kinds with a result.
    [[nodiscard]] std::uint64_t total(CallResult result) const;
    /// \brief Requests done a second, from the start to the end of the last request.
    [[nodiscard]] double doneRate() const;
    /// \brief By kind, in the order of the mix.
    [[nodiscard]] const std::vector<KindReport> &kinds() const noexcept { return m_kinds; }
    /// \brief Time during which requests failed, weighted by the share that did, by second.
    [[nodiscard]] std::vector<Duration> unavailable() const;
    /// @}

    /// \name Output
    /// @{
    /// \brief A table for a person.
    [[nodiscard]] std::string summary() const;
    /// \brief JSON for a program.
    [[nodiscard]] std::string json() const;
    /// @}

private:
    const RequestMix *m_mix;
    std::vector<KindReport> m_kinds;
    std::vector<TimeSlot> m_slots;
    LatencyHistogram m_lag;
    std::uint64_t m_crossed = 0;
    Duration m_lastEnd{};
};

} // namespace yuccaspan::load

namespace yuccaspan {

template <>
struct EnumNames<load::CallResult>
{
    static constexpr std::array<EnumName<load::CallResult>, load::callResultCount> table{{
        {load::CallResult::Done, "done"},
        {load::CallResult::NotRun, "not-run"},
        {load::CallResult::Unknown, "unknown"},
        {load::CallResult::Error, "error"},
    }};
};

} // namespace yuccaspan
