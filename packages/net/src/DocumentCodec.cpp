#include <goldcrestkeel/control/ConfigurationChange.h>
#include <goldcrestkeel/net/DocumentCodec.h>

#include <zlib.h>

#include <stdexcept>

namespace goldcrestkeel {

std::string
CompressDocument(const std::string& aDocument)
{
  uLongf size = compressBound(aDocument.size());
  std::string data(size, '\0');
  const int result = compress(reinterpret_cast<Bytef*>(data.data()),
                              &size,
                              reinterpret_cast<const Bytef*>(aDocument.data()),
                              aDocument.size());
  if (result != Z_OK) {
    throw std::runtime_error("zlib cannot compress the configuration document");
  }
  data.resize(size);
  return data;
}

std::string
DecompressDocument(const std::string& aData)
{
  uLongf size = kMaxDocumentBytes;
  std::string document(size, '\0');
  const int result = uncompress(reinterpret_cast<Bytef*>(document.data()),
                                &size,
                                reinterpret_cast<const Bytef*>(aData.data()),
                                aData.size());
  if (result != Z_OK) {
    throw std::runtime_error(
      "the compressed configuration document is not valid or exceeds the size "
      "limit");
  }
  document.resize(size);
  return document;
}

} // namespace goldcrestkeel
