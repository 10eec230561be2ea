#include "coltsfootlock/transport/rpc_server.h"

#include "rpc_connector.h"
#include "rpc_dispatcher.h"

#include <utility>

namespace coltsfootlock {

struct rpc_server::implementation
{
  rpc_connector connector;
  rpc_dispatcher dispatcher{ connector };
};

rpc_server::rpc_server()
  : implementation_(std::make_unique<implementation>())
{
}

rpc_server::~rpc_server()
{
  stop();
}

void
rpc_server::add_method(const std::string& name, method handler)
{
  implementation_->dispatcher.add(name, std::move(handler));
}

void
rpc_server::add_page(const std::string& path, page handler)
{
  implementation_->connector.server().Get(
    path, [handler = std::move(handler)](const httplib::Request&, httplib::Response& response) {
      const http_response content = handler();
      response.status = content.status;
      response.set_content(content.body, "text/plain");
    });
}

bool
rpc_server::listen(const endpoint& address, error& why)
{
  return implementation_->connector.bind(address, why) && implementation_->dispatcher.StartListening();
}

void
rpc_server::stop()
{
  implementation_->dispatcher.StopListening();
}

}
