// Settings in XML, read whole and checked against a schema that is part of the program. It owns the
// reading; it must never reach for another file or the network, and never hand out a document that
// its schema has not passed.
#ifndef PEARREACH_SRC_NODE_CONFIG_XML_H_
#define PEARREACH_SRC_NODE_CONFIG_XML_H_

#include <libxml/tree.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace pearreach::xml {

struct FreeDocument {
  void operator()(xmlDoc* document) const { xmlFreeDoc(document); }
};
using Document = std::unique_ptr<xmlDoc, FreeDocument>;

// Throws dispatch::Malformed with "NAME:LINE: what", also for more than a mebibyte.
Document Read(std::string_view text, const std::string& name, std::string_view schema);
// A file's bytes. Throws dispatch::Malformed.
std::string LoadText(const std::string& path);

[[noreturn]] void Fail(const std::string& name, int line, const std::string& what);

const xmlNode* Root(const Document& document);
int Line(const xmlNode* node);
std::string Text(const xmlNode* node, const char* attribute);  // empty: it is not there
// The elements right under a node, in their order.
void Each(const xmlNode* node,
          const std::function<void(const std::string& name, const xmlNode* element)>& use);

}  // namespace pearreach::xml

#endif  // PEARREACH_SRC_NODE_CONFIG_XML_H_
