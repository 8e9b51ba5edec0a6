/**
 * Work in hand that survives its broker: a record before the first part is sent, one claim by another broker once the owner's
 * lease has ended, one outcome. Pure; not wired to a broker yet.
 */
package reeldeal.fleet.work;
