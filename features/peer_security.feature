@loopback
Feature: Mutual TLS between daemons
    Daemons exchange data only with peers that present the certificate of a daemon.

    Scenario Outline: only clients with the certificate of a daemon are answered
        Given a TLS peer server with the certificate "peer"
        When it is probed by a client with <identity>
        Then the probe <outcome>
        And the server has handled <handled> probes

        Examples:
            | identity                       | outcome     | handled |
            | the certificate "peer"         | is answered | 1       |
            | the certificate "renewed-peer" | is answered | 1       |
            | the certificate "operator"     | is refused  | 0       |
            | the certificate "foreign-peer" | is refused  | 0       |
            | no certificate                 | is refused  | 0       |
            | plain text                     | is refused  | 0       |

    Scenario: a client rejects a server with a certificate of another authority
        Given a TLS peer server with the certificate "foreign-peer"
        When it is probed by a client with the certificate "peer"
        Then the probe is refused
        And the server has handled 0 probes

    Scenario: certificates are reloaded without a restart
        Given a TLS peer server with the certificate "foreign-peer"
        When it is probed by a client with the certificate "peer"
        Then the probe is refused
        When the server's certificate files are replaced by those of "peer"
        And it is probed by a client with the certificate "peer"
        Then the probe is answered
        When the server's certificate files are replaced by those of "renewed-peer"
        Then the server's certificate expires in the year 2226

    Scenario Outline: unusable certificate files leave the current certificate in use
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
            | name a broken second CA    | its certificate 2 is broken    |

    Scenario Outline: settings must configure either TLS or plain text
        When settings with <tls> are read
        Then the settings are <result>

        Examples:
            | tls                                                             | result                                                                                   |
            | tls: { plainText: true }                                        | valid                                                                                    |
            | tls: { certificateFile: a.crt, keyFile: a.key, caFile: ca.crt } | valid                                                                                    |
            | no tls field                                                    | rejected with "must name certificateFile, keyFile and caFile, or be { plainText: true }" |
            | tls: { plainText: false }                                       | rejected with "must name certificateFile, keyFile and caFile, or be { plainText: true }" |
            | tls: { certificateFile: a.crt }                                 | rejected with "must name certificateFile, keyFile and caFile, or be { plainText: true }" |
