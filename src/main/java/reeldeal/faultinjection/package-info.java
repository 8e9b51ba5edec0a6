/**
 * The fault-injection tool for operators: runs a fleet of real processes on loopback, injects
 * faults into the processes and the links between them, and checks invariants on the recorded
 * history alone. No code that serves requests loads this package.
 */
package reeldeal.faultinjection;
