package reeldeal.http;

import java.util.Locale;
import java.util.Map;

/**
 * A parsed HTTP request or response.
 *
 * @param methodOrVersion the first field of the start line: the method of a request, the version of
 *     a response
 * @param targetOrStatus the second field of the start line: the target of a request, the status of
 *     a response
 * @param versionOrReason the rest of the start line: the version of a request, the reason phrase of
 *     a response
 * @param headers header values by lower-case name
 * @param body the body, empty if the message has none
 */
public record HttpMessage(
        String methodOrVersion,
        String targetOrStatus,
        String versionOrReason,
        Map<String, String> headers,
        byte[] body) {
    private static final int SWITCHING_PROTOCOLS = 101;

    /** Returns the value of a header, or null if the message does not have it. */
    public String header(String lowerCaseName) {
        return headers.get(lowerCaseName);
    }

    /** Returns the status code of a response. */
    public int status() {
        return Integer.parseInt(targetOrStatus);
    }

    /** Whether this is an interim response, which precedes the final one. */
    boolean isInterim() {
        return status() / 100 == 1 && status() != SWITCHING_PROTOCOLS;
    }

    /** Returns the path of a request: the target without the query string. */
    public String path() {
        int queryStart = targetOrStatus.indexOf('?');
        return queryStart < 0 ? targetOrStatus : targetOrStatus.substring(0, queryStart);
    }

    /** Whether the connection stays open after this message. */
    public boolean keepsAlive() {
        String connection = headers.getOrDefault("connection", "").toLowerCase(Locale.ROOT);
        String version = methodOrVersion.startsWith("HTTP/") ? methodOrVersion : versionOrReason;
        return version.equals("HTTP/1.1")
                ? !connection.contains("close")
                : connection.contains("keep-alive");
    }
}
