package reeldeal.faultinjection;

import java.nio.file.Path;
import java.util.List;

/**
 * The programs that a scenario starts.
 *
 * @param jar the program, or null for the class path of this JVM
 * @param initialJar the program that the fleet starts with if a rollout installs {@code jar}, else
 *     null
 */
record Programs(Path jar, Path initialJar) {

    /** Returns whether the rollout installs a program rather than a configuration. */
    boolean rollsOutProgram() {
        return initialJar != null;
    }

    /** Returns the beginning of the command line of the program that the fleet starts with. */
    List<String> initialCommand() {
        return BrokerProcess.commandFor(initialJar != null ? initialJar : jar);
    }

    /** Returns the beginning of the command line of the program that is rolled out. */
    List<String> rolledOutCommand() {
        return BrokerProcess.commandFor(jar);
    }

    /** Returns the version of the program that is rolled out, which is the running program. */
    static String rolledOutVersion() {
        String version = Programs.class.getPackage().getImplementationVersion();
        return version == null ? "unknown" : version;
    }
}
