#include "json_rpc_call.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <jsoncpp/json/json.h>

#include <exception>
#include <memory>

namespace coltsfootlock {

namespace {

class sender_connector : public jsonrpc::IClientConnector
{
public:
  explicit sender_connector(const json_rpc_sender& sender)
    : sender_(sender)
  {
  }

  // NOLINTNEXTLINE(readability-identifier-naming)
  void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
  {
    std::string why;
    if (!sender_(message, result, why)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, why);
    }
  }

private:
  const json_rpc_sender& sender_;
};

}

bool
json_rpc_call(const std::string& method,
              const std::string& params,
              const json_rpc_sender& sender,
              std::string& result,
              std::string& why)
{
  try {
    Json::Value values;
    const Json::CharReaderBuilder reader_builder;
    const std::unique_ptr<Json::CharReader> reader(reader_builder.newCharReader());
    if (!reader->parse(params.data(), params.data() + params.size(), &values, nullptr)) {
      why = "the params are not JSON";
      return false;
    }
    sender_connector connector(sender);
    jsonrpc::Client client(connector);
    Json::StreamWriterBuilder writer_builder;
    writer_builder["indentation"] = "";
    result = Json::writeString(writer_builder, client.CallMethod(method, values));
    return true;
  } catch (const jsonrpc::JsonRpcException& failure) {
    why = failure.GetMessage();
  } catch (const std::exception& failure) {
    why = failure.what();
  }
  return false;
}

}
