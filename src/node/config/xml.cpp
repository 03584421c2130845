#include "node/config/xml.h"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <iterator>

#include "dispatch/settings/settings_reader.h"

namespace pearreach::xml {
namespace {

constexpr std::size_t kMaxBytes = 1 << 20;

template <typename T, void (*F)(T*)>
struct Free {
  void operator()(T* p) const { F(p); }
};
using Context = std::unique_ptr<xmlParserCtxt, Free<xmlParserCtxt, xmlFreeParserCtxt>>;
using SchemaParser =
    std::unique_ptr<xmlSchemaParserCtxt, Free<xmlSchemaParserCtxt, xmlSchemaFreeParserCtxt>>;
using Schema = std::unique_ptr<xmlSchema, Free<xmlSchema, xmlSchemaFree>>;
using Validation =
    std::unique_ptr<xmlSchemaValidCtxt, Free<xmlSchemaValidCtxt, xmlSchemaFreeValidCtxt>>;

// The first complaint; the later ones follow from it.
struct Complaint {
  int line = 0;
  std::string what;

  static void Take(void* self, xmlError* error) {
    auto* c = static_cast<Complaint*>(self);
    if (!c->what.empty() || error->message == nullptr) return;
    c->line = error->line;
    c->what = error->message;
    while (!c->what.empty() && std::strchr(" \n\r.", c->what.back()) != nullptr) c->what.pop_back();
    for (char& ch : c->what)
      if (ch == '\n') ch = ' ';
  }
};

}  // namespace

void Fail(const std::string& name, int line, const std::string& what) {
  throw dispatch::Malformed(name + ":" + std::to_string(line) + ": " + what);
}

Document Read(std::string_view text, const std::string& name, std::string_view schema_text) {
  if (text.size() > kMaxBytes) Fail(name, 1, "longer than a mebibyte");
  Complaint complaint;
  const Context context(xmlNewParserCtxt());
  xmlSetStructuredErrorFunc(&complaint,
                            [](void* self, xmlError* error) { Complaint::Take(self, error); });
  Document document(xmlCtxtReadMemory(context.get(), text.data(), static_cast<int>(text.size()),
                                      name.c_str(), nullptr, XML_PARSE_NONET | XML_PARSE_NOCDATA));
  const auto fail = [&] {
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    Fail(name, std::max(complaint.line, 1), complaint.what.empty() ? "not XML" : complaint.what);
  };
  if (document == nullptr || !complaint.what.empty()) fail();
  // Entities could name other files, or grow without end; the form needs none.
  if (document->intSubset != nullptr || document->extSubset != nullptr) {
    complaint = {1, "a document type is not allowed"};
    fail();
  }
  const SchemaParser parser(
      xmlSchemaNewMemParserCtxt(schema_text.data(), static_cast<int>(schema_text.size())));
  const Schema schema(xmlSchemaParse(parser.get()));
  const Validation validation(schema == nullptr ? nullptr : xmlSchemaNewValidCtxt(schema.get()));
  if (validation == nullptr || xmlSchemaValidateDoc(validation.get(), document.get()) != 0) fail();
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  return document;
}

std::string LoadText(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (!in || in.bad()) throw dispatch::Malformed(path + ": cannot be read");
  return text;
}

const xmlNode* Root(const Document& document) { return xmlDocGetRootElement(document.get()); }

int Line(const xmlNode* node) { return static_cast<int>(xmlGetLineNo(node)); }

std::string Text(const xmlNode* node, const char* attribute) {
  xmlChar* value =
      xmlGetNoNsProp(const_cast<xmlNode*>(node), reinterpret_cast<const xmlChar*>(attribute));
  std::string text = value == nullptr ? "" : reinterpret_cast<const char*>(value);
  xmlFree(value);
  return text;
}

void Each(const xmlNode* node,
          const std::function<void(const std::string& name, const xmlNode* element)>& use) {
  for (const xmlNode* n = node->children; n != nullptr; n = n->next)
    if (n->type == XML_ELEMENT_NODE) use(reinterpret_cast<const char*>(n->name), n);
}

}  // namespace pearreach::xml
