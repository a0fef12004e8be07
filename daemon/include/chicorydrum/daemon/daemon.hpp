/// \file
/// One chicorydrumd: its tasks and how they are wired together.
#pragma once

#include "chicorydrum/schema/generated/settings_types.h"

#include <memory>

namespace chicorydrum::daemon
{

class daemon
{
public:
    /// Opens all listeners; throws std::runtime_error if one cannot be.
    explicit daemon(schema::settings settings);
    ~daemon();

    /// Serves until a planned stop is finished. SIGTERM and SIGINT start one;
    /// a second signal, or the grace limit, ends it with true answers.
    void run();

private:
    struct impl;
    std::unique_ptr<impl> pimpl;
};

} // namespace chicorydrum::daemon
