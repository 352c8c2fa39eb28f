Feature: Traces of failures, recorded from processes, lead to the stated outcomes

  The traces were recorded by daemons on loopback while the failure was brought about.
  The same events must lead to the same decisions in every later version.

  Scenario Outline: <trace>
    Given the trace "<trace>"
    When it is replayed
    Then every decision is as recorded
    And <sent> calls were sent to a target
    And callers got <replies> answers, <unknown> "may_have_run" and <not_run> "not_run"

    Examples:
      | trace                      | sent | replies | unknown | not_run |
      | holder_killed_in_a_charge  | 1    | 0       | 4       | 0       |
      | service_answer_lost        | 1    | 0       | 2       | 0       |
      | platform_answers_lost      | 1    | 2       | 0       | 0       |
      | turn_through_both_zones    | 3    | 4       | 0       | 0       |
      | turn_ahead_of_its_time     | 1    | 1       | 0       | 1       |
