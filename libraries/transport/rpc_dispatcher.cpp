#include "rpc_dispatcher.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

#include <jsoncpp/json/json.h>

#include <utility>

namespace coltsfootlock {

namespace {

/// Server error of the application in JSON-RPC 2.0.
constexpr int refused_code = -32000;

std::string
write_json(const Json::Value& value)
{
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

bool
read_json(const std::string& text, Json::Value& value)
{
  const Json::CharReaderBuilder builder;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  return reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
}

}

rpc_dispatcher::rpc_dispatcher(jsonrpc::AbstractServerConnector& connector)
  : AbstractServer(connector)
{
}

void
rpc_dispatcher::add(const std::string& name, rpc_server::method function)
{
  bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr),
                   &rpc_dispatcher::registered);
  methods_[name] = std::move(function);
}

void
rpc_dispatcher::HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output)
{
  error why;
  const auto result = methods_.at(procedure.GetProcedureName())(write_json(input), why);
  if (!result) {
    throw jsonrpc::JsonRpcException(refused_code, why.message);
  }
  if (!read_json(*result, output)) {
    throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, "the result is not JSON");
  }
}

}
