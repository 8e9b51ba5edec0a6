/** Who may be out at once: the policy, and the rulings that follow from it and from what is known of the fleet. */
package reeldeal.fleet.permits;
