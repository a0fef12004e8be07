#include "chicorydrum/decision/usage_model.hpp"

#include <algorithm>

namespace chicorydrum::decision
{

namespace
{

/// Bounds of the learned ratio of used to declared size.
constexpr double min_ratio = 0.1;
constexpr double max_ratio = 10;
constexpr double min_gain = 0.1;

} // namespace

void usage_model::observe(const std::string& kind, const task_size& declared,
                          const task_size& used)
{
    if (declared.millicores <= 0 || declared.memory_mb <= 0 ||
        used.millicores <= 0 || used.memory_mb <= 0)
        return;
    usage_ratio& ratio = this->ratios[kind];
    const double gain =
        std::max(min_gain, 1.0 / static_cast<double>(++ratio.samples));
    const auto learn = [gain](double& learned, double observed)
    {
        learned +=
            gain * (std::clamp(observed, min_ratio, max_ratio) - learned);
    };
    learn(ratio.millicores, used.millicores / declared.millicores);
    learn(ratio.memory, used.memory_mb / declared.memory_mb);
}

task_size usage_model::correct(const std::string& kind,
                               const task_size& declared) const
{
    const auto found = this->ratios.find(kind);
    if (found == this->ratios.end())
        return declared;
    return {.millicores = declared.millicores * found->second.millicores,
            .memory_mb = declared.memory_mb * found->second.memory};
}

} // namespace chicorydrum::decision
