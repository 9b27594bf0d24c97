/// \file
/// \brief Sends the placer's orders to targets over HTTP on a dedicated thread.
#pragma once

#include "yuccaspan/clock.hpp"
#include "yuccaspan/placement.hpp"
#include "yuccaspan/settings.hpp"

#include <functional>
#include <memory>

namespace yuccaspan::impl {

/// \brief Sends orders. Orders to the same target are sent sequentially, in the order of send().
class OrderSender
{
public:
    /// \brief Receives each answer, or NoAnswer on failure or timeout, on the sender's thread.
    using Receiver = std::function<void(TargetAnswerEvent)>;

    OrderSender() = default;
    OrderSender(const OrderSender &) = delete;
    OrderSender &operator=(const OrderSender &) = delete;
    virtual ~OrderSender() = default;

    /// \brief Updates the targets' addresses.
    virtual void setTargets(std::shared_ptr<const Settings> settings) = 0;
    /// \brief Sends an order. The receiver gets exactly one answer per order.
    virtual void send(SendOrderAction action) = 0;
};

/// \brief Starts the sender.
/// \param timeout Maximum wait for an answer, measured from send().
/// \param receiver Receives the answers.
[[nodiscard]] std::unique_ptr<OrderSender> makeOrderSender(Duration timeout,
                                                           OrderSender::Receiver receiver);

} // namespace yuccaspan::impl
