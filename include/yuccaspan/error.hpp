/// \file
/// \brief Errors as values: a code, a text and a source location.
#pragma once

#include "yuccaspan/enum_names.hpp"

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace yuccaspan {

/// \brief Kind of a failure.
enum class ErrorCode {
    InvalidArgument, ///< A value is outside its documented range.
    ParseFailed, ///< The text is not well-formed.
    SchemaViolation, ///< The text is well-formed but does not match its schema.
    UnsupportedSchema, ///< The value was written by a newer program.
    NotFound, ///< The named object does not exist.
    Conflict, ///< A conditional update found another version.
    Unavailable, ///< The peer is unreachable or temporarily rejects requests.
    Timeout, ///< No answer within the deadline.
    UnknownResult, ///< The operation may or may not have taken effect.
    LimitExceeded, ///< A size or count limit would be exceeded.
    Internal, ///< Any other error inside the program.
};

template <>
struct EnumNames<ErrorCode>
{
    static constexpr std::array<EnumName<ErrorCode>, 11> table{{
        {ErrorCode::InvalidArgument, "invalid-argument"},
        {ErrorCode::ParseFailed, "parse-failed"},
        {ErrorCode::SchemaViolation, "schema-violation"},
        {ErrorCode::UnsupportedSchema, "unsupported-schema"},
        {ErrorCode::NotFound, "not-found"},
        {ErrorCode::Conflict, "conflict"},
        {ErrorCode::Unavailable, "unavailable"},
        {ErrorCode::Timeout, "timeout"},
        {ErrorCode::UnknownResult, "unknown-result"},
        {ErrorCode::LimitExceeded, "limit-exceeded"},
        {ErrorCode::Internal, "internal"},
    }};
};

/// \brief A location in a document. Line and column start at 1; 0 means unknown.
struct SourcePlace
{
    std::string file; ///< File name, or empty.
    std::string pointer; ///< JSON pointer within the file, or empty.
    std::uint32_t line = 0; ///< Line, from 1.
    std::uint32_t column = 0; ///< Column, from 1.

    [[nodiscard]] friend bool operator==(const SourcePlace &, const SourcePlace &) = default;
};

/// \brief An error: its kind, a human-readable text and its source location.
struct Error
{
    ErrorCode code = ErrorCode::Internal; ///< Kind of the failure.
    std::string text; ///< Human-readable sentence.
    SourcePlace place; ///< Source location; empty if there is none.

    [[nodiscard]] friend bool operator==(const Error &, const Error &) = default;
};

/// \brief Writes "file:line:column#pointer".
inline std::ostream &operator<<(std::ostream &stream, const SourcePlace &place)
{
    stream << place.file;
    if (place.line != 0)
        stream << ':' << place.line << ':' << place.column;
    if (!place.pointer.empty())
        stream << '#' << place.pointer;
    return stream;
}

/// \brief Writes "place: code: text".
inline std::ostream &operator<<(std::ostream &stream, const Error &error)
{
    if (error.place != SourcePlace{})
        stream << error.place << ": ";
    return stream << error.code << ": " << error.text;
}

} // namespace yuccaspan
