/// \file
/// \brief A value or an error.
#pragma once

#include "yuccaspan/error.hpp"

#include <cassert>
#include <type_traits>
#include <utility>
#include <variant>

namespace yuccaspan {

/// \brief The result of an operation that returns no value.
struct Nothing
{
    [[nodiscard]] friend constexpr bool operator==(Nothing, Nothing) = default;
};

/// \brief Holds either a value of type T or an Error.
///
/// \code
/// Result<int> parsed = parsePort("8080");
/// if (!parsed)
///     std::cerr << parsed.error();
/// \endcode
template <typename T>
class [[nodiscard]] Result
{
public:
    /// \name Construction
    /// @{
    /// \brief A success.
    Result(T value) noexcept(std::is_nothrow_move_constructible_v<T>)
        : m_state(std::in_place_index<0>, std::move(value))
    { }
    /// \brief A failure.
    Result(Error error) noexcept : m_state(std::in_place_index<1>, std::move(error)) { }
    /// @}

    /// \name Access
    /// @{
    /// \brief Whether there is a value.
    [[nodiscard]] bool hasValue() const noexcept { return m_state.index() == 0; }
    /// \brief Whether there is a value.
    [[nodiscard]] explicit operator bool() const noexcept { return hasValue(); }
    /// \brief The value.
    /// \warning Call only if hasValue().
    [[nodiscard]] T &value() noexcept
    {
        assert(hasValue());
        return *std::get_if<0>(&m_state);
    }
    /// \copydoc value()
    [[nodiscard]] const T &value() const noexcept
    {
        assert(hasValue());
        return *std::get_if<0>(&m_state);
    }
    /// \brief The error.
    /// \warning Call only if !hasValue().
    [[nodiscard]] const Error &error() const noexcept
    {
        assert(!hasValue());
        return *std::get_if<1>(&m_state);
    }
    /// \copydoc value()
    [[nodiscard]] T &operator*() noexcept { return value(); }
    /// \copydoc value()
    [[nodiscard]] const T &operator*() const noexcept { return value(); }
    /// \copydoc value()
    [[nodiscard]] T *operator->() noexcept { return &value(); }
    /// \copydoc value()
    [[nodiscard]] const T *operator->() const noexcept { return &value(); }
    /// @}

private:
    std::variant<T, Error> m_state;
};

/// \brief A result without a value.
using Status = Result<Nothing>;

/// \brief A successful Status.
[[nodiscard]] inline Status ok() noexcept
{
    return Status(Nothing{});
}

} // namespace yuccaspan
