/// \file
/// A chicorydrumd process that serves as an entry host of the platform.
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
    /// Opens all listeners; throws std::runtime_error if one cannot be opened.
    /// \p reload reads the settings again after SIGHUP and returns nothing if
    /// they are malformed.
    entry_daemon(schema::entry_settings settings,
                 std::function<std::optional<schema::entry_settings>()> reload);
    ~entry_daemon();

    /// Serves until a graceful stop is finished. SIGTERM and SIGINT start one.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace chicorydrum::daemon
