/// \file
/// A chicorydrumd process: creates its components and connects them.
#pragma once

#include "chicorydrum/schema/generated/settings_types.h"

#include <memory>

namespace chicorydrum::daemon
{

class daemon
{
public:
    /// Opens all listeners; throws std::runtime_error if one cannot be opened.
    explicit daemon(schema::settings settings);
    ~daemon();

    /// Serves until a graceful stop is finished. SIGTERM and SIGINT start one.
    /// A second signal or the end of the grace period forces it: the remaining
    /// callers are then answered with what is known of their submissions.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace chicorydrum::daemon
