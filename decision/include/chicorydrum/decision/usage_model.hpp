/// \file
/// Learned ratios of used to declared task sizes.
#pragma once

#include "chicorydrum/decision/endpoint_pool.hpp"

#include <string>
#include <unordered_map>

namespace chicorydrum::decision
{

/// Keeps the ratio of used to declared size for each kind.
class usage_model
{
public:
    /// Updates the ratios of \p kind with one finished task.
    void observe(const std::string& kind, const task_size& declared,
                 const task_size& used);

    /// Returns the expected usage of a task of \p kind with size \p declared.
    task_size correct(const std::string& kind, const task_size& declared) const;

private:
    struct usage_ratio
    {
        double millicores = 1;
        double memory = 1;
        std::size_t samples = 0;
    };

    std::unordered_map<std::string, usage_ratio> ratios;
};

} // namespace chicorydrum::decision
