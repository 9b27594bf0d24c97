/// \file
/// \brief Stubs for dependencies of Control that its tests don't examine.
#pragma once

#include "gateway/platform.hpp"
#include "yuccaspan/decision_log.hpp"

namespace yuccaspan::gateway {

/// \brief A log that discards everything.
class SilentLog final : public DecisionLog
{
public:
    void write(std::string_view /*part*/, std::string /*text*/) noexcept override { }
    [[nodiscard]] bool wantsRouting() const noexcept override { return false; }
    [[nodiscard]] std::uint64_t dropped() const noexcept override { return 0; }
    [[nodiscard]] std::uint64_t written() const noexcept override { return 0; }
};

/// \brief A protocol that reads and writes nothing.
class NoProtocol final : public TargetProtocol
{
public:
    [[nodiscard]] CallerFacts readCaller(const HttpRequest & /*request*/) const override
    {
        return {};
    }
    void address(HttpRequest & /*request*/, Duration /*left*/,
                 const std::string & /*target*/) const override
    { }
    [[nodiscard]] AnswerFacts readAnswer(const HttpResponse & /*response*/) const override
    {
        return {};
    }
    [[nodiscard]] HttpRequest order(const ShardOrder & /*order*/) const override { return {}; }
    [[nodiscard]] std::string handover(const HttpResponse & /*response*/) const override
    {
        return {};
    }
    void retryAfter(HttpResponse & /*response*/, Duration /*pause*/) const override { }
};

} // namespace yuccaspan::gateway
