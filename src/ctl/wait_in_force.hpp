/// \file
/// \brief Waits until a version of the settings is in force on every live instance.
#pragma once

#include "ctl/command.hpp"

namespace yuccaspan::impl {

/// \brief Settings version of an instance, for `apply --wait` and `status`.
struct InstanceVersion
{
    std::string name; ///< Name, or the URL of an instance that did not answer.
    ObjectVersion settingsVersion; ///< Version in force; 0 if unknown.
    bool leaving = false; ///< Whether it is shutting down.
    bool answered = false; ///< Whether its version is known.
};

/// \brief Reads the versions in force, from the administration APIs if any are given, else from
/// the store.
[[nodiscard]] Result<std::vector<InstanceVersion>> instanceVersions(CommandContext &context);

/// \brief Waits until a version is in force, up to the timeout of the command line.
/// \param context The command's context.
/// \param output Output to append to.
/// \param version The version.
[[nodiscard]] CommandOutput waitInForce(CommandContext &context, CommandOutput output,
                                        ObjectVersion version);

} // namespace yuccaspan::impl
