/// \file
/// \brief Seeded random numbers that are the same with every standard library.
#pragma once

#include <cmath>
#include <cstdint>

namespace yuccaspan::bench {

/// \brief The SplitMix64 generator.
class Random
{
public:
    /// \brief Starts the sequence of a seed.
    explicit Random(std::uint64_t seed) noexcept : m_state(seed) { }

    /// \brief The next 64 bits.
    [[nodiscard]] std::uint64_t bits() noexcept
    {
        std::uint64_t value = (m_state += 0x9e3779b97f4a7c15ULL);
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31U);
    }
    /// \brief Uniform in [0, 1).
    [[nodiscard]] double uniform() noexcept
    {
        constexpr double scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(bits() >> 11U) * scale;
    }
    /// \brief Uniform in [0, bound).
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) noexcept { return bits() % bound; }
    /// \brief Exponential with the given mean.
    [[nodiscard]] double exponential(double mean) noexcept
    {
        return -mean * std::log(1.0 - uniform());
    }
    /// \brief Gamma with shape 4 and the given mean: moderately variable service times.
    [[nodiscard]] double gamma4(double mean) noexcept
    {
        constexpr int shape = 4;
        double sum = 0;
        for (int part = 0; part < shape; ++part)
            sum += exponential(mean / shape);
        return sum;
    }

private:
    std::uint64_t m_state;
};

} // namespace yuccaspan::bench
