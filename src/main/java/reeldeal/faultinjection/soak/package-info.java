/**
 * The randomized fault soak: real brokers on loopback whose system calls, disks and clocks fail at
 * random while clients and searchers misbehave, with the protocol's rules as the oracle. No code
 * that serves requests loads this package.
 */
package reeldeal.faultinjection.soak;
