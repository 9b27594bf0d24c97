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
    void identify(HttpRequest & /*request*/, std::string_view /*workspace*/) const override { }
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

/// \brief A codec that decodes nothing; the test sets the state of the gateway.
class NoCodec final : public PlatformCodec
{
public:
    [[nodiscard]] Result<TargetEntry> target(const StoredObject & /*object*/) const override
    {
        return Error{ErrorCode::NotFound, "none", {}};
    }
    [[nodiscard]] Result<DesiredState> desiredState(const StoredObject & /*object*/) const override
    {
        return Error{ErrorCode::NotFound, "none", {}};
    }
};

/// \brief A store that has nothing.
class NoStore final : public MetadataStore
{
public:
    asio::awaitable<Result<StoredObjects>> list(ObjectKind /*kind*/) override { co_return none(); }
    asio::awaitable<Result<StoredObjects>> watch(ObjectKind /*kind*/, StoreRevision /*revision*/,
                                                 Duration /*wait*/,
                                                 CancelSink /*onCancel*/) override
    {
        co_return none();
    }
    asio::awaitable<Result<StoredObject>> get(ObjectKind /*kind*/, const std::string & /*name*/,
                                              bool /*maybeOld*/) override
    {
        co_return none();
    }
    asio::awaitable<WriteResult> put(ObjectKind /*kind*/, const std::string & /*name*/,
                                     const std::string & /*text*/,
                                     StoreRevision /*revision*/) override
    {
        co_return WriteResult{};
    }

private:
    static Error none() { return {ErrorCode::NotFound, "none", {}}; }
};

} // namespace yuccaspan::gateway
