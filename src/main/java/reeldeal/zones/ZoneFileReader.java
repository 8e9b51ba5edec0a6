package reeldeal.zones;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import reeldeal.dns.Zone;
import reeldeal.dns.ZoneFile;

/** Reads zone files from disk. Included files must be in the zone file's folder, after links. */
public final class ZoneFileReader {
    private ZoneFileReader() {}

    /**
     * Reads a zone file.
     *
     * @throws ZoneFile.Malformed if the content is invalid, with the line
     * @throws IOException if the zone file cannot be read
     */
    public static Zone read(Path file, String origin) throws ZoneFile.Malformed, IOException {
        Path folder = file.toAbsolutePath().normalize().getParent();
        Path realFolder = folder.toRealPath();
        return ZoneFile.parse(
                file.toString(),
                Files.readString(file),
                origin,
                name -> include(folder, realFolder, name));
    }

    private static String include(Path folder, Path realFolder, String name) throws IOException {
        Path included = folder.resolve(name).normalize();
        // A symbolic link can point outside the folder, as ".." can.
        if (!included.startsWith(folder)
                || !Files.exists(included)
                || !included.toRealPath().startsWith(realFolder)) {
            throw new IOException(name + " is not in the zone file's folder");
        }
        return Files.readString(included);
    }
}
