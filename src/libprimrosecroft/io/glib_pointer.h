#pragma once

#include <gio/gio.h>
#include <memory>

namespace primrosecroft
{

namespace detail
{

struct object_unref
{
    void operator()(gpointer object) const
    {
        g_object_unref(object);
    }
};

struct error_free
{
    void operator()(GError *fault) const
    {
        g_error_free(fault);
    }
};

struct glib_free
{
    void operator()(gpointer memory) const
    {
        g_free(memory);
    }
};

struct loop_unref
{
    void operator()(GMainLoop *loop) const
    {
        g_main_loop_unref(loop);
    }
};

struct bytes_unref
{
    void operator()(GBytes *bytes) const
    {
        g_bytes_unref(bytes);
    }
};

} // namespace detail

/// Owns one reference to a GObject.
template<typename object>
using object_pointer = std::unique_ptr<object, detail::object_unref>;

using loop_pointer = std::unique_ptr<GMainLoop, detail::loop_unref>;
using error_pointer = std::unique_ptr<GError, detail::error_free>;
using text_pointer = std::unique_ptr<char, detail::glib_free>;
using bytes_pointer = std::unique_ptr<GBytes, detail::bytes_unref>;

/// Takes a new reference to @p shared, which the result owns.
template<typename object>
object_pointer<object> shareObject(object *shared)
{
    return object_pointer<object>(static_cast<object *>(g_object_ref(shared)));
}

} // namespace primrosecroft
