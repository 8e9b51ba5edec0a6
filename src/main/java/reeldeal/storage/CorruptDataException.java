package reeldeal.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * Thrown for data that a crash cannot have left behind; the data directory cannot be used. The
 * message names the file and the offset, and tells the operator what to do.
 */
public final class CorruptDataException extends IOException {
    private static final long serialVersionUID = 1L;

    CorruptDataException(Path file, long offset, String damage) {
        super(
                file
                        + ", offset "
                        + offset
                        + ": "
                        + damage
                        + ". A crash does not cause this, so the node must not start"
                        + " from this directory."
                        + " Remove it from the group and add it again"
                        + " under a new name with an empty directory");
    }
}
