#include "client_connect.hpp"

#include <cstdlib>
#include <vector>

#include <libwebsockets.h>

namespace chicorydrum::transport
{

namespace
{

/// Blocks that the library has freed while a connection is being opened.
class deferred_release
{
public:
    void begin()
    {
        ++this->depth;
    }
    void end()
    {
        if (--this->depth > 0)
            return;
        for (void* const block : this->blocks)
            std::free(block);
        this->blocks.clear();
    }
    void release(void* block)
    {
        if (this->depth > 0)
            this->blocks.push_back(block);
        else
            std::free(block);
    }

private:
    /// Number of calls of open_connection() that have not returned.
    int depth = 0;
    /// Empty unless depth is positive.
    std::vector<void*> blocks;
};

/// Each event loop runs on one thread, and so do all calls of the library.
thread_local deferred_release deferred;

void* reallocate(void* block, std::size_t size, const char* /*reason*/)
{
    if (size > 0)
        return std::realloc(block, size);
    if (block != nullptr)
        deferred.release(block);
    return nullptr;
}

} // namespace

void install_library_allocator()
{
    lws_set_allocator(reallocate);
}

lws* open_connection(const lws_client_connect_info& info)
{
    deferred.begin();
    lws* const opened = lws_client_connect_via_info(&info);
    deferred.end();
    return opened;
}

} // namespace chicorydrum::transport
