#include "log_buffer.hpp"

namespace chicorydrum::support
{

log_buffer::log_buffer(log_buffer_options opts) : options(std::move(opts))
{
}

void log_buffer::add(std::string_view line)
{
    if (this->buffered.size() + line.size() > this->options.max_buffered_bytes)
    {
        ++this->dropped;
        ++this->unreported_drops;
        return;
    }
    this->buffered += line;
    if (this->buffered.size() >= this->options.batch_bytes)
        this->flush();
}

void log_buffer::flush()
{
    while (!this->buffered.empty())
    {
        const std::size_t written = this->options.write_some(this->buffered);
        if (written == 0)
            return;
        this->buffered.erase(0, written);
    }
    if (this->unreported_drops == 0)
        return;
    const std::string note = "event=log_lines_dropped count=" +
                             std::to_string(this->unreported_drops) + "\n";
    this->unreported_drops = 0;
    this->add(note);
}

} // namespace chicorydrum::support
