// Runs all registered suites, or those whose names are given; exits with 0 only if all passed.
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/TextTestProgressListener.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argc, char** argv) {
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  result.addListener(&collector);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  for (int i = 1; i < argc; ++i) runner.run(result, argv[i]);
  if (argc == 1) runner.run(result);
  CppUnit::CompilerOutputter(&collector, std::cerr).write();
  std::cout << collector.runTests() - collector.testFailuresTotal() << " passed, "
            << collector.testFailuresTotal() << " failed\n";
  return collector.wasSuccessful() && collector.runTests() > 0 ? 0 : 1;
}
