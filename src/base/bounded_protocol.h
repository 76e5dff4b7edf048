// Thrift protocols for messages from elsewhere: refuse a list or map that
// claims more elements than bytes are left, before memory is allocated for
// them. Thrift's compact protocol takes the elements of a list of structs to
// have no bytes, and its JSON protocol bounds them by a default of 100 MB.
#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace gentianspindle {

// Base is a protocol that reads from a TMemoryBuffer.
template<typename Base>
class BoundedProtocol : public Base
{
public:
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
    auto* buffer = static_cast<apache::thrift::transport::TMemoryBuffer*>(
      this->ptrans_.get());
    if (aCount > buffer->available_read()) {
      throw apache::thrift::protocol::TProtocolException(
        apache::thrift::protocol::TProtocolException::SIZE_LIMIT);
    }
  }
};

using BoundedCompactProtocol =
  BoundedProtocol<apache::thrift::protocol::TCompactProtocolT<
    apache::thrift::transport::TMemoryBuffer>>;

}
