/**
 * Implements the DNS protocol: names, record data, messages, zones, zone files, updates, transfers
 * and signatures.
 *
 * <p>All rules of the RFCs belong here. Every class is a value or a state machine that receives
 * messages and the time from its caller; it must not use sockets, threads, clocks, the store or the
 * list of searchers (packages {@code zones} and {@code membership} do).
 */
package reeldeal.dns;
