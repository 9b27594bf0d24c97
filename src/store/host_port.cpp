#include "yuccaspan/store_http.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace yuccaspan {

namespace impl {

namespace {

Error invalidAddress(std::string_view text)
{
    return {ErrorCode::InvalidArgument,
            "expected http://<IP address>:<port>, found \"" + std::string(text) + "\"",
            {}};
}

} // namespace

} // namespace impl

Result<HostPort> parseHostPort(std::string_view text)
{
    constexpr std::string_view scheme = "http://";
    std::string_view remaining = text;
    if (remaining.starts_with(scheme))
        remaining.remove_prefix(scheme.size());
    if (remaining.ends_with('/'))
        remaining.remove_suffix(1);
    const std::size_t colon = remaining.rfind(':');
    if (colon == std::string_view::npos)
        return impl::invalidAddress(text);
    std::string_view host = remaining.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    HostPort parsed{std::string(host), 0};
    boost::system::error_code addressError;
    boost::asio::ip::make_address(parsed.address, addressError);
    const std::string_view port = remaining.substr(colon + 1);
    const char *end = port.data() + port.size();
    const auto [stop, parseError] = std::from_chars(port.data(), end, parsed.port);
    if (addressError || parseError != std::errc() || stop != end || parsed.port == 0)
        return impl::invalidAddress(text);
    return parsed;
}

} // namespace yuccaspan
