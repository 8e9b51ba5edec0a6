package reeldeal.storage;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.Test;

/** Tests which bytes are read as a record, a torn tail or damage. */
public class ChecksummedRecordsTest {
    private static final byte[] BYTES = "some bytes".getBytes(StandardCharsets.UTF_8);
    private static final byte[] FILE = ChecksummedRecords.encode(BYTES);

    private static ChecksummedRecords.Kind kindOf(byte[] file) {
        return ChecksummedRecords.read(file, 0).kind();
    }

    @Test
    public void aRecordIsReadAsItWasWritten() {
        assertArrayEquals(BYTES, ChecksummedRecords.read(FILE, 0).bytes());
        assertTrue(ChecksummedRecords.beginsAt(FILE, 0));
        assertFalse(ChecksummedRecords.beginsAt(FILE, 1));
    }

    @Test
    public void theEndOfTheFileIsNoTornTail() {
        assertEquals(
                ChecksummedRecords.Kind.END, ChecksummedRecords.read(FILE, FILE.length).kind());
    }

    @Test
    public void aTruncatedRecordIsTorn() {
        for (int length = 1; length < FILE.length; length++) {
            byte[] cut = Arrays.copyOf(FILE, length);
            assertEquals("" + length, ChecksummedRecords.Kind.TORN, kindOf(cut));
        }
    }

    @Test
    public void aRecordWithAnUnwrittenSectorIsTorn() {
        byte[] file = ChecksummedRecords.encode(new byte[2_000]);
        Arrays.fill(file, 512, 1_024, (byte) 0);
        assertEquals(ChecksummedRecords.Kind.TORN, kindOf(file));
    }

    @Test
    public void aChangedBitIsDamage() {
        byte[] changed = FILE.clone();
        changed[ChecksummedRecords.HEADER_BYTES] ^= 1;
        assertEquals(ChecksummedRecords.Kind.DAMAGED, kindOf(changed));
    }
}
