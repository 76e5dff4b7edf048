// Thrift's compact protocol for messages from elsewhere: refuses a list or map
// that claims more elements than bytes are left, before memory is allocated for
// them. Thrift itself takes the elements of a list of structs to have no bytes.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gentianspindle {

class BoundedProtocol
  : public apache::thrift::protocol::TCompactProtocolT<
      apache::thrift::transport::TMemoryBuffer>
{
public:
  using Base = apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>;
  using Base::Base;

  void checkReadBytesAvailable(apache::thrift::protocol::TList& aList) override
  {
    this->CheckCount(aList.size_);
  }
  void checkReadBytesAvailable(apache::thrift::protocol::TSet& aSet) override
  {
    this->CheckCount(aSet.size_);
  }
  void checkReadBytesAvailable(apache::thrift::protocol::TMap& aMap) override
  {
    this->CheckCount(aMap.size_);
  }

private:
  // Each element takes a byte at least: a struct its end.
  void CheckCount(uint32_t aCount) const
  {
    if (aCount > this->trans_->available_read()) {
      throw apache::thrift::protocol::TProtocolException(
        apache::thrift::protocol::TProtocolException::SIZE_LIMIT);
    }
  }
};

}
