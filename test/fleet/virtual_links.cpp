#include "virtual_links.hpp"

#include <utility>

namespace chicorydrum::fleet
{

bool virtual_links::open(const std::string& a, const std::string& b)
{
    link& opened = this->links[key(a, b)];
    if (!opened.open_at.empty() || this->is_cut(a, b))
        return false;
    ++opened.epoch;
    opened.open_at = {a, b};
    opened.last_arrival.clear();
    opened.on_hold.clear();
    return true;
}

void virtual_links::send(const std::string& from, const std::string& to,
                         const schema::peer_message& message)
{
    link& used = this->links[key(from, to)];
    if (!used.open_at.contains(from))
        return;
    support::instant& last = used.last_arrival[to];
    last = std::max(last, this->options.queue.now() +
                              this->options.latency(from, to));
    this->options.queue.at(last, [this, from, to, epoch = used.epoch, message]
                           { this->deliver(from, to, epoch, message); });
}

void virtual_links::deliver(const std::string& from, const std::string& to,
                            int epoch, const schema::peer_message& message)
{
    link& used = this->links[key(from, to)];
    if (used.epoch != epoch || !used.open_at.contains(to))
        return;
    if (this->is_cut(from, to))
        used.on_hold.push_back({from, to, message});
    else
        this->options.on_message(to, from, message);
}

void virtual_links::close(const std::string& at, const std::string& other)
{
    link& closed = this->links[key(at, other)];
    if (closed.open_at.erase(at) == 0)
        return;
    if (!this->is_cut(at, other))
        this->notify_close(other, at, closed.epoch);
}

void virtual_links::notify_close(const std::string& at,
                                 const std::string& other, int epoch)
{
    // The close arrives after earlier messages, as the end of a TCP stream
    // does.
    link& closing = this->links[key(at, other)];
    const support::instant when =
        std::max(closing.last_arrival[at],
                 this->options.queue.now() + this->options.latency(other, at));
    this->options.queue.at(when,
                           [this, at, other, epoch]
                           {
                               link& closed = this->links[key(at, other)];
                               if (closed.epoch != epoch ||
                                   this->is_cut(at, other) ||
                                   closed.open_at.erase(at) == 0)
                                   return;
                               this->options.on_close(at, other);
                           });
}

void virtual_links::close_all(const std::string& host)
{
    std::vector<std::string> others;
    for (const auto& [ends, open] : this->links)
        if (open.open_at.contains(host))
            others.push_back(ends.first == host ? ends.second : ends.first);
    for (const std::string& other : others)
        this->close(host, other);
}

void virtual_links::cut(const std::string& a, const std::string& b)
{
    this->cuts.insert(key(a, b));
}

bool virtual_links::is_cut(const std::string& a, const std::string& b) const
{
    return this->cuts.contains(key(a, b));
}

void virtual_links::heal_all()
{
    this->cuts.clear();
    for (auto& [ends, open] : this->links)
    {
        for (const message_on_hold& held : std::exchange(open.on_hold, {}))
            this->options.queue.after(
                this->options.latency(held.from, held.to),
                [this, held, epoch = open.epoch]
                { this->deliver(held.from, held.to, epoch, held.message); });
        // A side that missed the close is notified now.
        if (open.open_at.size() == 1)
        {
            const std::string at = *open.open_at.begin();
            const std::string& other =
                ends.first == at ? ends.second : ends.first;
            this->notify_close(at, other, open.epoch);
        }
    }
}

} // namespace chicorydrum::fleet
