#include "config/operator.h"

#include <libxml/parser.h>
#include <libxml/xmlschemas.h>

#include <cstring>
#include <fstream>
#include <iterator>
#include <memory>

#include "config/operator_schema.h"
#include "site/site.h"

namespace pearreach {
namespace {

using marlquay::Malformed;

constexpr std::size_t kMostBytes = 1 << 20;

template <typename T, void (*F)(T*)>
struct Free {
  void operator()(T* p) const { F(p); }
};
using Context = std::unique_ptr<xmlParserCtxt, Free<xmlParserCtxt, xmlFreeParserCtxt>>;
using Document = std::unique_ptr<xmlDoc, Free<xmlDoc, xmlFreeDoc>>;
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

[[noreturn]] void Fail(const std::string& name, int line, const std::string& what) {
  throw Malformed(name + ":" + std::to_string(line) + ": " + what);
}

std::string Text(const xmlNode* node, const char* attribute) {
  xmlChar* value =
      xmlGetNoNsProp(const_cast<xmlNode*>(node), reinterpret_cast<const xmlChar*>(attribute));
  const std::string text = value == nullptr ? "" : reinterpret_cast<const char*>(value);
  xmlFree(value);
  return text;
}

// The schema has seen to it that a number is there, or nothing, and within its bounds.
template <typename T>
void Take(const xmlNode* node, const char* attribute, std::int64_t unit, T* to) {
  const std::string text = Text(node, attribute);
  if (!text.empty()) *to = static_cast<T>(marlquay::Number<std::int64_t>(text, attribute) * unit);
}

CaptureSettings ReadCapture(const xmlNode* node, const std::string& name) {
  CaptureSettings c;
  const int line = static_cast<int>(xmlGetLineNo(node));
  c.folder = Text(node, "folder");
  Take(node, "memory-kib", 1 << 10, &c.memory);
  Take(node, "segment-kib", 1 << 10, &c.segment_bytes);
  Take(node, "segment-seconds", kSecond, &c.segment_age);
  Take(node, "total-kib", 1 << 10, &c.total_bytes);
  Take(node, "flush-ms", kMs, &c.flush_every);
  if (c.folder.front() != '/')
    Fail(name, line, "capture: folder '" + c.folder + "' is not absolute");
  if (c.total_bytes < 2 * c.segment_bytes)
    Fail(name, line, "capture: total-kib holds less than two segments");
  return c;
}

JobsSettings ReadJobs(const xmlNode* node, const std::string& name) {
  JobsSettings j;
  j.store = Text(node, "store");
  Take(node, "lease-ms", kMs, &j.lease);
  Take(node, "keep-seconds", kSecond, &j.keep);
  Take(node, "recovered-at-once", 1, &j.recovered_at_once);
  Take(node, "in-hand", 1, &j.in_hand);
  Take(node, "in-hand-kib", 1024, &j.in_hand_bytes);
  const std::string prefixes = Text(node, "callback-prefixes");  // outlives the views of it
  for (const marlquay::Text prefix : marlquay::Split(prefixes, ' '))
    if (!prefix.empty()) j.callback_prefixes.emplace_back(prefix);
  if (j.store.front() != '/')
    Fail(name, static_cast<int>(xmlGetLineNo(node)),
         "jobs: store '" + j.store + "' is not absolute");
  return j;
}

}  // namespace

OperatorSettings ReadOperatorFile(std::string_view xml, const std::string& name) {
  if (xml.size() > kMostBytes) Fail(name, 1, "longer than a mebibyte");
  Complaint complaint;
  const Context context(xmlNewParserCtxt());
  xmlSetStructuredErrorFunc(&complaint,
                            [](void* self, xmlError* error) { Complaint::Take(self, error); });
  const Document document(xmlCtxtReadMemory(context.get(), xml.data(), static_cast<int>(xml.size()),
                                            name.c_str(), nullptr,
                                            XML_PARSE_NONET | XML_PARSE_NOCDATA));
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
  const SchemaParser parser(xmlSchemaNewMemParserCtxt(kOperatorSchema, sizeof kOperatorSchema - 1));
  const Schema schema(xmlSchemaParse(parser.get()));
  const Validation validation(xmlSchemaNewValidCtxt(schema.get()));
  if (schema == nullptr || validation == nullptr ||
      xmlSchemaValidateDoc(validation.get(), document.get()) != 0)
    fail();
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  OperatorSettings settings;
  for (const xmlNode* n = xmlDocGetRootElement(document.get())->children; n != nullptr;
       n = n->next) {
    if (n->type != XML_ELEMENT_NODE) continue;
    const std::string_view element = reinterpret_cast<const char*>(n->name);
    if (element == "log")
      settings.log_format = Text(n, "format") == "json" ? LogFormat::kJson : LogFormat::kText;
    if (element == "capture") settings.capture = ReadCapture(n, name);
    if (element == "jobs") settings.jobs = ReadJobs(n, name);
  }
  return settings;
}

OperatorSettings LoadOperatorFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::string xml{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  if (!in || in.bad()) throw Malformed(path + ": cannot be read");
  return ReadOperatorFile(xml, path);
}

}  // namespace pearreach
