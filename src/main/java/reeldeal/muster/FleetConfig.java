package reeldeal.muster;

import reeldeal.fleet.members.Self;

/** A broker as a member of its fleet: its zone, the program's version as operators call it, and its times. */
public record FleetConfig(String zone, String program, Self.Times times) { }
