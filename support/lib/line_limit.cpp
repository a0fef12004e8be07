#include "chicorydrum/support/line_limit.hpp"

#include <algorithm>
#include <utility>

namespace chicorydrum::support
{

std::optional<line_limit::summary> line_limit::add(std::int64_t value,
                                                   instant now)
{
    this->unwritten.most = this->unwritten.count == 0
                               ? value
                               : std::max(this->unwritten.most, value);
    ++this->unwritten.count;
    if (this->last_line && now - *this->last_line < this->interval)
        return std::nullopt;
    this->last_line = now;
    return std::exchange(this->unwritten, {});
}

} // namespace chicorydrum::support
