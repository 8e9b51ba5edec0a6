/**
 * Reads and validates all configuration and supplies its defaults; no other package does. An
 * invalid setting is reported by an {@code InvalidConfigException} that names the section of the
 * file and the key, the expected value and the value found.
 *
 * <p>The package depends only on the settings types of the components that it configures, never on
 * the running components. It has no state: callers read the files at start and, for the broker's
 * configuration and the administrative overrides, again at SIGHUP.
 */
package reeldeal.config;
