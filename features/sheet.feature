Feature: The planners' sheet
  A sheet is accepted or rejected as a whole, and each fault has a position.

  Scenario: The samples are valid
    Then the sample sheet lagos.csv is valid with 4 zones
    And the sample sheet pt-interior.csv is valid with 3 zones

  Scenario Outline: Each fault is reported with its line and column: <fault>
    Given the sample sheet lagos.csv
    When its text "<old>" becomes "<new>"
    Then the sheet has the fault "<fault>" on a line with "<marker>" in column <column>

    Examples: invalid values
      | old           | new           | marker       | column | fault                            |
      | ikeja,in      | ikeja,maybe   | ikeja,maybe  | 2      | 'maybe' is not one of in, out    |
      | ikeja,in      | ike ja,in     | ike ja       | 1      | 'ike ja' is not a valid name     |
      | lekki,in      | ikeja,out     | ikeja,out    | 1      | is already defined in line       |
      | ,8,200,       | ,0,200,       | breweries,   | 3      | is not an integer from 1 to 1000 |
      | ,8,200,       | ,8,-1,        | breweries,   | 4      | is not a number above 0          |
      | ,8,200,       | ,8,nan,       | breweries,   | 4      | is not a number above 0          |
      | ,8,200,       | ,٨,200,       | breweries,   | 3      | is not an integer                |
      | ,8,200,400    | ,8,200,1e3    | breweries,   | 5      | is not an integer                |
      | model,2,8     | model,9,8     | model,9,8    | 3      | exceeds the warm limit           |
      | model-pool,model,2 | entry,model,2 | entry,model | 1   | reserved by the system           |
      | /v1/schedules | v1/schedules  | v1/schedules | 7      | does not start with /            |
      | yes,/v1/read  | maybe,/v1/read | maybe,/v1   | 6      | neither yes nor no               |
      | breweries,    | breweries,f   | breweries,f  | 2      | not a SHA-256                    |

    Examples: invalid references
      | old                      | new                       | marker       | column | fault                     |
      | adjust-pump,training     | adjust-pump,traning       | traning      | 2      | is not a client account   |
      | adjust-pump,training     | ajust-pump,training       | ajust-pump   | 1      | is not a pipeline         |
      | 4,adjust,generate,model-pool | 4,adjust,generate,invoice-svc | generate,invoice-svc | 5 | is not a pool of kind model |
      | writer,pumps,yes         | writer,pump,yes           | writer,pump,yes | 7   | no target                 |
      | writer,pumps,yes         | writter,pumps,yes         | writter      | 6      | no target                 |
      | alarms pumps,any         | alarms pumps,all          | alarms pumps,all | 5  | is not one of any, encode |

    Examples: invalid structure
      | old                      | new                       | marker       | column | fault                     |
      | adjust-pump,4,           | adjust-pump,6,            | adjust-pump,3000 | 1  | are not 1 to 4            |
      | adjust-pump,4,adjust     | adjust-pump,4,rerank      | 4,rerank     | 3      | is repeated               |
      | pipeline,account         | pipeline,acount           | acount       | 2      | has no column 'acount'    |
      | pipeline,account         | pipeline,acount           | acount       | 0      | is missing the column     |
      | ikeja,in                 | ikeja,in,x                | ikeja,in,x   | 3      | a cell without a column   |
      | [bindings]               | [binding]                 | [binding]    | 1      | not one of the sections   |
      | [bindings]               | [stages]                  | [stages]     | 1      | is already open           |
      | [bindings]               | [bindings                 | [bindings    | 1      | not a section title       |
      | ikeja,in                 | "ikeja,in                 | "ikeja,in    | 0      | the CSV is malformed      |

  Scenario: All faults are reported at once, sorted by line
    Given the sample sheet lagos.csv
    When its text "ikeja,in" becomes "ikeja,maybe"
    And its text "model,2,8" becomes "model,0,8"
    And its text "writer,3" becomes "writer,a/b"
    Then the sheet has 3 faults, sorted by line

  Scenario Outline: A pipeline has three to six stages: <count>
    Given the sample sheet lagos.csv with a pipeline of <count> stages
    Then the sheet is <verdict>

    Examples:
      | count | verdict  |
      | 2     | rejected |
      | 3     | valid    |
      | 6     | valid    |
      | 7     | rejected |

  Scenario Outline: Files that are not a sheet are rejected: <what>
    Then a sheet of <what> is rejected with "<fault>"

    Examples:
      | what             | fault                  |
      | nothing          | [zones] is missing     |
      | Latin-1 text     | is not UTF-8           |
      | UTF-16 text      | is not UTF-8           |
      | random bytes     | is not UTF-8           |
      | too many bytes   | more than 16777216     |
      | too many rows    | more than 100000 rows  |
      | a long cell      | more than 1000         |
      | JSON             | before any [section]   |

  Scenario Outline: Formats of spreadsheet programs do not change the content: <format>
    Given the sample sheet lagos.csv
    When it is saved with <format>
    Then it still yields the same configuration

    Examples:
      | format               |
      | CRLF line endings    |
      | a byte order mark    |
      | semicolons           |
      | quoted cells         |
      | trailing empty cells |
      | reversed rows        |

  Scenario: A hundred thousand rows are read within limits of time and memory
    Given a sheet with 99000 client accounts
    Then it is read within 20 seconds
    Given a sheet with 9900 client accounts
    Then it is read within 20 megabytes

  Scenario: Arbitrary corruption of a sheet never raises an exception
    Then 150 randomly corrupted sheets are accepted or rejected
