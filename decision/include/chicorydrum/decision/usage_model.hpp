/// \file
/// Learned sizes: how far the declared sizes of a kind are off.
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
    /// Learns from one finished task.
    void observe(const std::string& kind, const task_size& declared,
                 const task_size& used);

    /// What a task of \p kind that declares \p declared will likely use.
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
