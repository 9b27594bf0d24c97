/// \file
/// \brief Sends the placer's orders to targets over HTTP, on a thread of its own.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/placement.hpp"
#include "yuccaspan/settings.hpp"

#include <functional>
#include <memory>

namespace yuccaspan::impl {

/// \brief Sends orders; orders to one target go one after the other, in the order given.
class OrderSender
{
public:
    /// \brief Receives each answer, or NoAnswer after the time-out, on the sender's thread.
    using Receiver = std::function<void(TargetAnswerEvent)>;

    OrderSender() = default;
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;
    virtual ~OrderSender() = default;

    /// \brief Puts the targets' addresses in force.
    virtual void setTargets(std::shared_ptr<const Settings> settings) = 0;
    /// \brief Sends an order. Every order is answered exactly once.
    virtual void send(SendOrderAction action) = 0;
};

/// \brief Starts the sender.
/// \param timeout Longest wait for an answer, counted from send().
/// \param receiver Receives the answers.
[[nodiscard]] std::unique_ptr<OrderSender> makeOrderSender(Duration timeout,
                                                           OrderSender::Receiver receiver);

} // namespace yuccaspan::impl
