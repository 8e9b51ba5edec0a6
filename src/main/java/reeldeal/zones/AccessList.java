package reeldeal.zones;

import inet.ipaddr.IPAddress;
import inet.ipaddr.IPAddressNetwork.IPAddressGenerator;
import inet.ipaddr.IPAddressString;
import inet.ipaddr.format.util.AssociativeAddressTrie.AssociativeTrieNode;
import inet.ipaddr.format.util.DualIPv4v6AssociativeTries;
import java.net.InetAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Permits an operation to senders by network or by TSIG key. Among the networks that contain the
 * sender, the one with the longest prefix decides. An entry is {@code any}, {@code loopback}, an
 * address, a network such as {@code 10.0.0.0/8}, one of these prefixed with {@code !} to deny it,
 * or {@code key:NAME}. A sender that matches no entry is denied.
 */
public final class AccessList {
    /** Denies every sender. */
    public static final AccessList NOBODY = parse(List.of());

    private static final IPAddressGenerator ADDRESSES = new IPAddressGenerator();

    private final DualIPv4v6AssociativeTries<Boolean> networks = new DualIPv4v6AssociativeTries<>();
    private final Set<String> keys = new HashSet<>();
    private final boolean anySender;

    private AccessList(boolean anySender) {
        this.anySender = anySender;
    }

    /**
     * Parses a list of entries.
     *
     * @throws IllegalArgumentException if an entry is invalid; its message quotes the entry
     */
    public static AccessList parse(List<String> entries) {
        AccessList acl = new AccessList(entries.equals(List.of("any")));
        for (String entry : entries) {
            boolean allow = !entry.startsWith("!");
            String target = allow ? entry : entry.substring(1);
            if (target.startsWith("key:") && allow) {
                String name = reeldeal.dns.Names.parse(target.substring(4), ".");
                if (name == null) {
                    throw new IllegalArgumentException(
                            "expected a valid domain name after key:, found " + entry);
                }
                acl.keys.add(name);
            } else if (target.equals("any") || target.equals("loopback")) {
                for (String block :
                        target.equals("any")
                                ? List.of("0.0.0.0/0", "::/0")
                                : List.of("127.0.0.0/8", "::1")) {
                    acl.networks.put(
                            new IPAddressString(block).getAddress().toPrefixBlock(), allow);
                }
            } else {
                IPAddress network =
                        target.matches("[0-9a-fA-F.:]+(/[0-9]{1,3})?")
                                ? new IPAddressString(target).getAddress()
                                : null;
                if (network == null
                        || (network.isMultiple() && !network.isPrefixBlock())
                        || (network.isPrefixed()
                                && !network.isPrefixBlock()
                                && !network.isSingleNetwork())
                        || (target.contains("/")
                                && !network.toZeroHost().equals(network.getLower()))) {
                    throw new IllegalArgumentException(
                            "expected any, loopback, an address, a network whose host"
                                    + " bits are 0, or key:NAME, found "
                                    + entry);
                }
                acl.networks.put(network, allow);
            }
        }
        return acl;
    }

    /**
     * Returns whether a sender at this address is permitted, given the key that signed its message,
     * or null for an unsigned message.
     */
    public boolean allows(InetAddress sender, String key) {
        if (anySender || (key != null && keys.contains(key))) {
            return true;
        }
        AssociativeTrieNode<? extends IPAddress, Boolean> longestMatch =
                networks.longestPrefixMatchNode(ADDRESSES.from(sender));
        return longestMatch != null && longestMatch.getValue();
    }
}
