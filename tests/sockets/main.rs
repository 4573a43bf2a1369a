//! Starts the real program as a process and plays its clients, executors, name service and broker over sockets.

mod agent;
mod broker;
mod crossings;
mod deployments;
mod mqtt;
mod operators;
mod stations;
mod thrift;
mod versions;

use ochreward_rig::stand;
