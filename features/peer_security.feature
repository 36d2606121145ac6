Feature: Security between daemons
    A peer shows a certificate of a daemon, or nothing it says is used.

    Scenario Outline: only a holder of a daemon's certificate is answered
        Given a TLS peer server with the certificate "peer"
        When it is probed by a client with <identity>
        Then the probe <outcome>
        And the server has taken <taken> probes

        Examples:
            | identity                       | outcome       | taken |
            | the certificate "peer"         | is answered   | 1     |
            | the certificate "renewed-peer" | is answered   | 1     |
            | the certificate "operator"     | is refused    | 0     |
            | the certificate "foreign-peer" | is refused    | 0     |
            | no certificate                 | is refused    | 0     |
            | plain text                     | is refused    | 0     |

    Scenario: a client does not use the answer of a server with another authority
        Given a TLS peer server with the certificate "foreign-peer"
        When it is probed by a client with the certificate "peer"
        Then the probe is refused
        And the server has taken 0 probes

    Scenario: certificates are reloaded without a restart
        Given a TLS peer server with the certificate "foreign-peer"
        When it is probed by a client with the certificate "peer"
        Then the probe is refused
        When the server's certificate files become those of "peer"
        And it is probed by a client with the certificate "peer"
        Then the probe is answered
        When the server's certificate files become those of "renewed-peer"
        Then the server's certificate expires in the year 2226

    Scenario Outline: files that cannot be used leave the last certificate in force
        Given a TLS peer server with the certificate "peer"
        When the server's certificate files <fault>
        Then the reload fails with "<message>"
        When it is probed by a client with the certificate "peer"
        Then the probe is answered

        Examples:
            | fault                      | message                        |
            | hold no certificate        | it holds no certificate in PEM |
            | hold the key of "operator" | it is not the key of           |
            | are gone                   | no such file                   |

    Scenario Outline: settings say how daemons talk to each other
        When settings with <tls> are read
        Then the settings are <result>

        Examples:
            | tls                                                               | result                                                            |
            | tls: { plainText: true }                                          | valid                                                             |
            | tls: { certificateFile: a.crt, keyFile: a.key, caFile: ca.crt }   | valid                                                             |
            | nothing                                                           | refused with "must name certificateFile, keyFile and caFile, or be { plainText: true }" |
            | tls: { plainText: false }                                         | refused with "must name certificateFile, keyFile and caFile, or be { plainText: true }" |
            | tls: { certificateFile: a.crt }                                   | refused with "must name certificateFile, keyFile and caFile, or be { plainText: true }" |
