// yuccaspanctl: the operators' commands.
#include "ctl/command.hpp"
#include "yuccaspan/store_http.hpp"

#include <iostream>
#include <thread>

namespace {

using namespace yuccaspan;

Result<std::shared_ptr<Store>> openStore(const HostPort &peer)
{
    static const SystemClock clock;
    StoreOptions options;
    options.address = peer.address;
    options.port = peer.port;
    options.instance = "yuccaspanctl";
    Result<std::unique_ptr<HttpStore>> store = makeHttpStore(std::move(options), clock);
    if (!store)
        return store.error();
    return std::shared_ptr<Store>(std::move(*store));
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const auto sleep = [](Duration duration) { std::this_thread::sleep_for(duration); };
    return impl::runCtl(arguments, openStore, sleep, std::cout, std::cerr);
}
