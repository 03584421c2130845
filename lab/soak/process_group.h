// Runs a function in a process group of its own and leaves no process of that group behind.
#ifndef PEARREACH_LAB_SOAK_PROCESS_GROUP_H_
#define PEARREACH_LAB_SOAK_PROCESS_GROUP_H_

namespace pearreach::soak {

// The exit code of `run`, which is called in a child process. Once that has ended, or this process
// gets SIGTERM, SIGINT or SIGHUP, all of the group is killed. Call it before any thread is started.
int RunInGroup(int (*run)());

}  // namespace pearreach::soak

#endif  // PEARREACH_LAB_SOAK_PROCESS_GROUP_H_
