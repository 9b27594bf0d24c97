/// \file
/// \brief Waits until a version of the settings is in force on every live instance.
#pragma once

#include "ctl/command.hpp"

namespace yuccaspan::impl {

/// \brief An instance as `apply --wait` and `status` see it.
struct InstanceVersion
{
    std::string name; ///< Name, or the URL of an instance that did not answer.
    ObjectVersion settingsVersion; ///< Version in force; 0 if it is not known.
    bool leaving = false; ///< Whether it is about to stop.
    bool answered = false; ///< Whether its version is known.
};

/// \brief The versions in force, from the administration APIs if any are given, else from the
/// store.
[[nodiscard]] Result<std::vector<InstanceVersion>> instanceVersions(CommandContext &context);

/// \brief Waits, up to the timeout of the command line.
/// \param context The command's context.
/// \param output Output so far, to be extended.
/// \param version The version.
[[nodiscard]] CommandOutput waitInForce(CommandContext &context, CommandOutput output,
                                        ObjectVersion version);

} // namespace yuccaspan::impl
