/// \file
/// \brief Publishes immutable snapshots to readers on other threads.
#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace yuccaspan::impl {

/// \brief Holds the latest version of an immutable value.
template <typename T>
class Published
{
public:
    /// \brief Starts with the given value, which must not be null.
    explicit Published(std::shared_ptr<const T> value) noexcept : m_value(std::move(value)) { }

    /// \brief Replaces the value.
    void publish(std::shared_ptr<const T> value)
    {
        const std::lock_guard lock(m_mutex);
        m_value = std::move(value);
        m_version.fetch_add(1, std::memory_order_seq_cst);
    }
    /// \brief The current value.
    [[nodiscard]] std::shared_ptr<const T> get() const
    {
        const std::lock_guard lock(m_mutex);
        return m_value;
    }
    /// \brief Version number; incremented with each replacement.
    [[nodiscard]] std::uint64_t version() const noexcept
    {
        return m_version.load(std::memory_order_seq_cst);
    }

private:
    mutable std::mutex m_mutex;
    std::shared_ptr<const T> m_value;
    std::atomic<std::uint64_t> m_version{1};
};

/// \brief One thread's cached copy of a published value, refreshed only when the version changed.
template <typename T>
class Reader
{
public:
    /// \brief Reads from the given source, which must outlive the reader.
    explicit Reader(const Published<T> &source) noexcept : m_source(source) { }
    /// \brief The current value.
    [[nodiscard]] const std::shared_ptr<const T> &get()
    {
        const std::uint64_t version = m_source.version();
        if (version != m_version) {
            m_value = m_source.get();
            m_version = version;
        }
        return m_value;
    }

private:
    const Published<T> &m_source;
    std::shared_ptr<const T> m_value;
    std::uint64_t m_version = 0;
};

} // namespace yuccaspan::impl
