/// \file
/// One chicorydrumd as an entry host on the platform's installations.
#pragma once

#include "chicorydrum/schema/generated/settings_types.h"

#include <functional>
#include <memory>
#include <optional>

namespace chicorydrum::daemon
{

class entry_daemon
{
public:
    /// Opens all listeners; throws std::runtime_error if one cannot be.
    /// \p reload reads the settings again after SIGHUP; nothing if they are
    /// malformed.
    entry_daemon(schema::entry_settings settings,
                 std::function<std::optional<schema::entry_settings>()> reload);
    ~entry_daemon();

    /// Serves until a planned stop is finished. SIGTERM and SIGINT start one.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace chicorydrum::daemon
